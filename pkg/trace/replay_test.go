package trace

import (
	"bytes"
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// replayOutput returns the text and the JSON report of a replay as one string, and the records of the router policy.
func replayOutput(t *testing.T, tr *Trace) (string, []Record) {
	t.Helper()
	var records []Record
	rep, err := Replay(context.Background(), tr, Options{Records: func(r []Record) { records = r }})
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := rep.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	if err := rep.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	return b.String(), records
}

func TestReplayIsDeterministic(t *testing.T) {
	for _, name := range Names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr, err := Make(name, 3)
			if err != nil {
				t.Fatal(err)
			}
			firstText, firstRecords := replayOutput(t, tr)
			secondText, secondRecords := replayOutput(t, tr)
			if diff := cmp.Diff(firstText, secondText); diff != "" {
				t.Errorf("report of the second replay differs (-first +second):\n%s", diff)
			}
			if diff := cmp.Diff(firstRecords, secondRecords); diff != "" {
				t.Errorf("records of the second replay differ (-first +second):\n%s", diff)
			}
		})
	}
}

func TestTraceWriteParseRoundTrip(t *testing.T) {
	for _, name := range Names {
		t.Run(name, func(t *testing.T) {
			made, err := Make(name, 5)
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			if err := made.Write(&b); err != nil {
				t.Fatal(err)
			}
			read, err := Parse(b.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(made, read); diff != "" {
				t.Errorf("trace differs after Write and Parse (-made +read):\n%s", diff)
			}
		})
	}
}
