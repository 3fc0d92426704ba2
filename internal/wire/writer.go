package wire

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"vetchhaven/decide"
)

// Writer writes replies. A reply is buffered until End writes it in one call, so that the simulator does not receive a
// partial reply.
type Writer struct {
	out     io.Writer
	reply   bytes.Buffer // complete messages of the reply
	message []byte       // the message being encoded
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Actions adds the actions of one instance to the reply. It returns an error for an action that has no message; the
// actions before it remain in the reply.
func (w *Writer) Actions(agent int, actions []decide.Action) error {
	for _, action := range actions {
		switch a := action.(type) {
		case decide.Send:
			w.begin("Try", agent).str("Job", a.Request).str("Backend", a.Backend)
			if a.Timeout > 0 {
				w.ms("PatienceMs", a.Timeout)
			}
		case decide.Cancel:
			w.begin("Cancel", agent).str("Job", a.Request).num("SendNo", int64(a.Attempt))
		case decide.Refuse:
			w.begin("SayNo", agent).str("Job", a.Request)
			if a.RetryAfter > 0 {
				w.ms("WaitMs", a.RetryAfter)
			}
		case decide.Fail:
			w.begin("DropRequest", agent).str("Job", a.Request)
		case decide.SetTimer:
			w.begin("SetTimer", agent).ms("SpanMs", a.After).num("Cookie", a.Token)
		case decide.Probe:
			w.begin("Test", agent).str("Backend", a.Backend)
		case decide.SendToPeer:
			w.begin("WritePeer", agent).num("Whom", int64(a.To)).str("Msg", hex.EncodeToString(a.Data))
		case decide.Subscribe:
			w.begin("KeepInformed", agent).setTrue("Enable")
		default:
			return fmt.Errorf("no message for action %T", a)
		}
		w.finish()
	}
	return nil
}

// InstanceFailed adds a message to the reply, which reports that the decision code of an instance has failed. text is the
// reason.
func (w *Writer) InstanceFailed(agent int, text string) {
	w.begin("Broken", agent).str("Msg", text)
	w.finish()
}

// End ends the reply and writes it.
func (w *Writer) End() error {
	w.reply.WriteString("{\"msg\":\"Eor\"}\n")
	_, err := w.reply.WriteTo(w.out)
	return err
}

// begin starts a message of an instance, and finish ends it. Each call between the two adds one key.
func (w *Writer) begin(kind string, agent int) *Writer {
	w.message = append(w.message[:0], `{"msg":"`...)
	w.message = append(w.message, kind...)
	w.message = append(w.message, '"')
	return w.num("Agent", int64(agent))
}

func (w *Writer) finish() {
	w.message = append(w.message, "}\n"...)
	w.reply.Write(w.message)
}

func (w *Writer) key(name string) {
	w.message = append(w.message, `,"`...)
	w.message = append(w.message, name...)
	w.message = append(w.message, `":`...)
}

func (w *Writer) setTrue(name string) *Writer {
	w.key(name)
	w.message = append(w.message, "true"...)
	return w
}

func (w *Writer) num(name string, v int64) *Writer {
	w.key(name)
	w.message = strconv.AppendInt(w.message, v, 10)
	return w
}

func (w *Writer) ms(name string, d time.Duration) *Writer {
	w.key(name)
	w.message = strconv.AppendFloat(w.message, float64(d)/float64(time.Millisecond), 'f', -1, 64)
	return w
}

// str adds a string. Printable ASCII that needs no escaping is copied without the JSON encoder.
func (w *Writer) str(name, v string) *Writer {
	w.key(name)
	for i := range len(v) {
		if c := v[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(v) // a string always marshals
			w.message = append(w.message, quoted...)
			return w
		}
	}
	w.message = append(w.message, '"')
	w.message = append(w.message, v...)
	w.message = append(w.message, '"')
	return w
}
