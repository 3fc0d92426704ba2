package core

import "cmp"

// SetOtherProcesses tells the agent how many other processes of the same agent are alive. All of them share the
// descriptors and the memory of one process.
func (a *Agent) SetOtherProcesses(count int) {
	parts := max(0, count) + 1
	sockets := cmp.Or(a.cfg.Sockets, defaultSockets) / parts
	a.log.Info("processes of this agent", "beside", count, "sockets", sockets)
	a.limiter.Resize(ClientSockets(sockets))
	a.protocol.Resize(sockets, a.cfg.BodyMemory()/parts)
}
