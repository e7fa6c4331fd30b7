package reservation

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// holder is what a reader who never forgets knows of a key.
type holder struct {
	id       string
	released bool
	done     bool
}

// oracle folds the stream with no bound and no gap.
type oracle map[string]*holder

func (o oracle) fold(r *Record) {
	switch {
	case r.Claim != nil:
		h := o[r.Claim.Key]
		if h == nil || h.released && h.id != r.Claim.ID {
			o[r.Claim.Key] = &holder{id: r.Claim.ID}
		}
	case r.Release != nil:
		if h := o[r.Release.Key]; h != nil && h.id == r.Release.ID && !h.done {
			h.released = true
		}
	case r.Done != nil:
		if h := o[r.Done.Key]; h != nil && h.id == r.Done.ID && !h.released {
			h.done = true
		}
	}
}

// TestP09TableNeverForgetsWithoutRefusing draws streams with doubles, gaps and more keys than are kept: whatever a reader
// with unbounded memory knows, the table knows too, or it refuses the key as not provable.
func TestP09TableNeverForgetsWithoutRefusing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := Table{Skew: 5, MaxAge: 100, MaxKeys: 3, MaxAnswerBytes: 10}
		known := oracle{}
		times := map[string]clock.Millis{}
		var ids []*Claim
		at := clock.Millis(1000)
		skipping := false
		for offset := range int64(rapid.IntRange(1, 60).Draw(rt, "entries")) {
			at += clock.Millis(rapid.IntRange(0, 20).Draw(rt, "step"))
			r := &Record{}
			switch kind := rapid.IntRange(0, 5).Draw(rt, "kind"); {
			case kind <= 1 || len(ids) == 0:
				ahead := clock.Millis(rapid.IntRange(-60, 5).Draw(rt, "ahead"))
				c := &Claim{ID: fmt.Sprint(offset), KeyAt: at + ahead}
				if len(ids) > 0 && rapid.Bool().Draw(rt, "same key") {
					*c = *rapid.SampledFrom(ids).Draw(rt, "rival")
					c.ID = fmt.Sprint(offset)
				}
				if c.Key == "" {
					c.Key = fmt.Sprintf("%d-%d", c.KeyAt, offset)
				}
				times[c.Key] = c.KeyAt
				ids = append(ids, c)
				r.Claim = c
			case kind == 2:
				r.Claim = rapid.SampledFrom(ids).Draw(rt, "double")
			case kind <= 4:
				c := rapid.SampledFrom(ids).Draw(rt, "released")
				r.Release = &Release{ID: c.ID, Key: c.Key}
			default:
				c := rapid.SampledFrom(ids).Draw(rt, "done")
				r.Done = &Done{ID: c.ID, Key: c.Key, Answer: &Answer{Body: make([]byte, 4)}}
			}
			// Where the table refuses a claim as too old, its holder does not run, so that the oracle forgets it too.
			if r.Claim == nil || known[r.Claim.Key] != nil || r.Claim.KeyAt <= at+5 {
				known.fold(r)
			}
			skipping = rapid.IntRange(0, 9).Draw(rt, "gap") == 0
			if !skipping {
				data, err := encode(r)
				if err != nil {
					rt.Fatal(err)
				}
				e := backoffice.Entry{Offset: offset, At: at, Data: data}
				table.Fold(e, at)
				table.Fold(e, at)
			}
			check(rt, &table, known, times, skipping)
		}
	})
}

// check compares the table with the oracle; while entries were skipped last, the table can't know of them yet.
func check(rt *rapid.T, table *Table, known oracle, times map[string]clock.Millis, skipping bool) {
	if table.Len() > table.MaxKeys {
		rt.Fatalf("%d keys are kept", table.Len())
	}
	if table.answerBytes > table.MaxAnswerBytes {
		rt.Fatalf("%d bytes of answers are kept", table.answerBytes)
	}
	if skipping {
		return
	}
	for key, h := range known {
		if !table.Provable(times[key]) {
			continue
		}
		got := holder{}
		if s := table.Slot(key); s != nil {
			got = holder{id: s.Claim.ID, released: s.Released, done: s.Done != nil}
		}
		if diff := cmp.Diff(*h, got, cmp.AllowUnexported(holder{})); diff != "" {
			rt.Fatalf("key %s (-oracle +table):\n%s", key, diff)
		}
	}
}

func FuzzP09TableTakesAnyRecord(f *testing.F) {
	f.Add([]byte(`{"Claim":{"ID":"c1","Key":"k","KeyAt":5,"Body":"b"}}`), []byte(`{"Release":{"ID":"c1","Key":"k"}}`))
	f.Add([]byte(`{"Claim":{"ID":"c1","Key":"k","KeyAt":-9223372036854775808}}`), []byte(`{"Done":{"ID":"c1","Key":"k","Answer":{}}}`))
	f.Add([]byte(`{"Claim":null}`), []byte("\xff"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		table := Table{Skew: 5, MaxAge: 100, MaxKeys: 1, MaxAnswerBytes: 10}
		for offset, data := range [][]byte{first, second, first} {
			table.Fold(backoffice.Entry{Offset: int64(offset), At: 1000, Data: data}, 1)
		}
		if table.Len() > 1 || table.answerBytes > 10 || table.Next() != 3 {
			t.Errorf("%d keys, %d bytes of answers, next offset %d", table.Len(), table.answerBytes, table.Next())
		}
	})
}
