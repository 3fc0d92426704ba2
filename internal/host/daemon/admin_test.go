package daemon

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"

	"vetchhaven/internal/standin"
)

func TestStatusIsJSON(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	tb.start(Options{})
	resp, err := client(tb.socketPath("admin"), false).Get("http://x/status")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var st Status
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil || len(st.Instances) != 1 || st.PID != os.Getpid() {
		t.Errorf("status %+v, error %v", st, err)
	}
	post, err := client(tb.socketPath("admin"), false).Post("http://x/handover", "", nil)
	if err != nil || post.StatusCode != http.StatusConflict {
		t.Errorf("handover of a daemon that can't hand over: %v %v", post, err)
	} else {
		post.Body.Close()
	}
}
