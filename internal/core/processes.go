package core

import "cmp"

// SetOtherProcesses sets the number of other running processes of the same agent. The descriptors and the memory of one
// process are divided equally among all of them.
func (a *Agent) SetOtherProcesses(count int) {
	parts := max(0, count) + 1
	sockets := cmp.Or(a.cfg.Sockets, defaultSockets) / parts
	a.log.Info("processes of this agent", "beside", count, "sockets", sockets)
	a.limiter.Resize(ClientSockets(sockets))
	a.protocol.Resize(sockets, a.cfg.BodyMemory()/parts)
}
