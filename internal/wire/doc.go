// Package wire translates between the JSON messages of the platform's simulator and the events, actions and settings
// of package decide. It makes no decisions and starts no goroutine.
//
// The simulator sends one JSON object per line. A batch is everything that happened at one instant, between a Frame
// and an End message; the reply to it is a list of actions that ends with Eor. Reader reads batches and keeps the
// endpoint lists to which messages refer; Writer writes replies. Each belongs to one goroutine: cmd/adapter runs
// both in one loop. internal/core and the tools use only ParseSettings, because agents on sockets are given the same
// settings object, and Load, because servers report their load in the same form.
//
// The names in the messages are the platform's; this package translates them to those of package decide. Unknown
// messages and unknown values are errors; unknown keys are ignored.
package wire
