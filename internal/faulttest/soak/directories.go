package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/internal/standin/directory"
)

// DirectoryFault is a kind of misbehaviour of a directory server, which affects some of its operations.
type DirectoryFault int

// The faults of directory servers.
const (
	DirectoryServes DirectoryFault = iota
	DirectorySlow                  // answers up to 1.5 s late
	DirectoryStalls                // sends no responses until the fault ends
	DirectoryResets                // resets connections before an operation has run
	DirectoryRunsAndResets
	DirectoryCorrupts // answers twice, under another ID, or with garbage
	DirectoryNotifies // a Notice of Disconnection in place of an answer
	directoryFaults   // number of values
)

const (
	directoryServers = 3
	faultyOperations = 0.3 // share of a directory server's operations that its fault affects
	entrySuffix      = ",ou=soak"
	sharedEntry      = "cn=shared" + entrySuffix
)

// directoryServer is a stand-in directory server that records its operations under the request named by their DN.
type directoryServer struct {
	*directory.Directory
	rec *Recorder

	mu    sync.Mutex
	fault DirectoryFault
	stall chan struct{} // closed when DirectoryStalls ends
	rng   *rand.Rand
}

// directories are the directory servers of a run and the list that names them.
type directories struct {
	list    *standin.List
	servers []*directoryServer
}

func newDirectories(rec *Recorder, seed uint64) (*directories, error) {
	all := &directories{}
	var members []discovery.Server
	for n := range directoryServers {
		d, err := directory.New(fmt.Sprintf("d%d", n), directory.Options{})
		if err != nil {
			all.close()
			return nil, err
		}
		x := &directoryServer{Directory: d, rec: rec, rng: rand.New(rand.NewPCG(seed, uint64(n))), stall: make(chan struct{})}
		d.Add(sharedEntry, map[string][]string{"cn": {"shared"}})
		d.Script(x.script)
		all.servers = append(all.servers, x)
		members = append(members, d.Member(check.Ready))
	}
	var err error
	all.list, err = standin.NewList("", members...)
	if err != nil {
		all.close()
		return nil, err
	}
	return all, nil
}

// setFault changes the server's fault.
func (d *directoryServer) setFault(fault DirectoryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == DirectoryStalls && fault != DirectoryStalls {
		close(d.stall)
		d.stall = make(chan struct{})
	}
	d.fault = fault
}

// script draws the fault of an operation and records its arrival.
func (d *directoryServer) script(o directory.Op) directory.Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := d.drawFault()
	id := requestOf(o.DN)
	if id == "" {
		return fault
	}
	now := d.rec.Now()
	d.rec.Put(check.Event{Kind: check.RequestArrived, At: now, Began: now, Request: id, Server: d.ID, Process: 1, Class: o.Kind, Ran: !fault.KillBefore})
	return fault
}

// drawFault draws the fault of one operation. The lock must be held.
func (d *directoryServer) drawFault() directory.Fault {
	usual := directory.Fault{Wait: time.Duration(d.rng.Float64() * float64(30*time.Millisecond))}
	if d.rng.Float64() >= faultyOperations {
		return usual
	}
	switch d.fault {
	case DirectorySlow:
		return directory.Fault{Wait: time.Duration(d.rng.Float64() * float64(1500*time.Millisecond))}
	case DirectoryStalls:
		return directory.Fault{Stall: d.stall}
	case DirectoryResets:
		return directory.Fault{KillBefore: true}
	case DirectoryRunsAndResets:
		return directory.Fault{KillAfter: true}
	case DirectoryCorrupts:
		return []directory.Fault{{Double: true}, {WrongID: true}, {Garbage: true}}[d.rng.IntN(3)]
	case DirectoryNotifies:
		return directory.Fault{Notice: true}
	}
	return usual
}

// entryOf returns the DN of a request's operation; requestOf is its inverse.
func entryOf(request string) string { return "cn=" + request + entrySuffix }

func requestOf(dn string) string {
	name, found := strings.CutSuffix(dn, entrySuffix)
	if !found || dn == sharedEntry {
		return ""
	}
	return strings.TrimPrefix(name, "cn=")
}

func (all *directories) close() {
	for _, d := range all.servers {
		d.setFault(DirectoryServes)
		d.Close()
	}
	if all.list != nil {
		all.list.Close()
	}
}
