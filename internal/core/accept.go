package core

import "net"

// SteadyListener is a listener whose Accept outlasts errors of a moment.
type SteadyListener struct{ net.Listener }

// NewSteadyListener wraps a listener.
func NewSteadyListener(l net.Listener) *SteadyListener { return &SteadyListener{l} }
