package trace

import (
	"bytes"
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// replayed returns the report of a replay as text and as JSON, and the records of the router.
func replayed(t *testing.T, tr *Trace) (string, []Record) {
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

func TestReplayTwiceGivesTheSameBytes(t *testing.T) {
	for _, name := range Names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr, err := Make(name, 3)
			if err != nil {
				t.Fatal(err)
			}
			firstText, firstRecords := replayed(t, tr)
			secondText, secondRecords := replayed(t, tr)
			if diff := cmp.Diff(firstText, secondText); diff != "" {
				t.Errorf("the report differs (-first +second):\n%s", diff)
			}
			if diff := cmp.Diff(firstRecords, secondRecords); diff != "" {
				t.Errorf("the records differ (-first +second):\n%s", diff)
			}
		})
	}
}

func TestTraceIsTheSameAfterWritingAndReading(t *testing.T) {
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
				t.Errorf("trace differs (-made +read):\n%s", diff)
			}
		})
	}
}
