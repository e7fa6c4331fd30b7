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

// expectedKey is the state of a key according to the oracle.
type expectedKey struct {
	id       string
	released bool
	done     bool
}

// oracle applies every record of the stream and never drops a key.
type oracle map[string]*expectedKey

func (o oracle) apply(r *Record) {
	switch {
	case r.Claim != nil:
		want := o[r.Claim.Key]
		if want == nil || want.released && want.id != r.Claim.ID {
			o[r.Claim.Key] = &expectedKey{id: r.Claim.ID}
		}
	case r.Release != nil:
		if want := o[r.Release.Key]; want != nil && want.id == r.Release.ID && !want.done {
			want.released = true
		}
	case r.Done != nil:
		if want := o[r.Done.Key]; want != nil && want.id == r.Done.ID && !want.released {
			want.done = true
		}
	}
}

// TestP09TableMatchesOracleOrRefuses generates streams with duplicates, gaps and more keys than the table keeps. For each key
// the table must agree with an oracle that has unbounded memory, or not cover the timestamp of the key.
func TestP09TableMatchesOracleOrRefuses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := Table{Skew: 5, MaxAge: 100, MaxKeys: 3, MaxAnswerBytes: 10}
		model := oracle{}
		times := map[string]clock.Millis{}
		var claims []*Claim
		at := clock.Millis(1000)
		skipping := false
		for offset := range int64(rapid.IntRange(1, 60).Draw(rt, "entries")) {
			at += clock.Millis(rapid.IntRange(0, 20).Draw(rt, "time step"))
			r := &Record{}
			switch kind := rapid.IntRange(0, 5).Draw(rt, "kind"); {
			case kind <= 1 || len(claims) == 0:
				ahead := clock.Millis(rapid.IntRange(-60, 5).Draw(rt, "ahead"))
				c := &Claim{ID: fmt.Sprint(offset), KeyAt: at + ahead}
				if len(claims) > 0 && rapid.Bool().Draw(rt, "same key") {
					*c = *rapid.SampledFrom(claims).Draw(rt, "competing claim")
					c.ID = fmt.Sprint(offset)
				}
				if c.Key == "" {
					c.Key = fmt.Sprintf("%d-%d", c.KeyAt, offset)
				}
				times[c.Key] = c.KeyAt
				claims = append(claims, c)
				r.Claim = c
			case kind == 2:
				r.Claim = rapid.SampledFrom(claims).Draw(rt, "duplicate")
			case kind <= 4:
				c := rapid.SampledFrom(claims).Draw(rt, "released")
				r.Release = &Release{ID: c.ID, Key: c.Key}
			default:
				c := rapid.SampledFrom(claims).Draw(rt, "done")
				r.Done = &Done{ID: c.ID, Key: c.Key, Answer: &Answer{Body: make([]byte, 4)}}
			}
			// A claim whose key is too far in the future is ignored by the table, so the oracle ignores it too.
			if r.Claim == nil || model[r.Claim.Key] != nil || r.Claim.KeyAt <= at+5 {
				model.apply(r)
			}
			skipping = rapid.IntRange(0, 9).Draw(rt, "gap") == 0
			if !skipping {
				data, err := encode(r)
				if err != nil {
					rt.Fatal(err)
				}
				e := backoffice.Entry{Offset: offset, At: at, Data: data}
				table.Apply(e, at)
				table.Apply(e, at)
			}
			compareWithOracle(rt, &table, model, times, skipping)
		}
	})
}

// compareWithOracle checks the bounds of the table and compares its keys with the oracle. It skips the keys right after a gap,
// which the table has not detected yet.
func compareWithOracle(rt *rapid.T, table *Table, model oracle, times map[string]clock.Millis, skipping bool) {
	if table.Len() > table.MaxKeys {
		rt.Fatalf("table keeps %d keys, want at most MaxKeys", table.Len())
	}
	if table.answerBytes > table.MaxAnswerBytes {
		rt.Fatalf("table keeps %d bytes of answers, want at most MaxAnswerBytes", table.answerBytes)
	}
	if skipping {
		return
	}
	for key, want := range model {
		if !table.Covers(times[key]) {
			continue
		}
		got := expectedKey{}
		if s := table.Lookup(key); s != nil {
			got = expectedKey{id: s.Claim.ID, released: s.Released, done: s.Done != nil}
		}
		if diff := cmp.Diff(*want, got, cmp.AllowUnexported(expectedKey{})); diff != "" {
			rt.Fatalf("state of key %s differs (-oracle +table):\n%s", key, diff)
		}
	}
}

func FuzzP09TableAcceptsAnyRecord(f *testing.F) {
	f.Add([]byte(`{"Claim":{"ID":"c1","Key":"k","KeyAt":5,"Body":"b"}}`), []byte(`{"Release":{"ID":"c1","Key":"k"}}`))
	f.Add([]byte(`{"Claim":{"ID":"c1","Key":"k","KeyAt":-9223372036854775808}}`), []byte(`{"Done":{"ID":"c1","Key":"k","Answer":{}}}`))
	f.Add([]byte(`{"Claim":null}`), []byte("\xff"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		table := Table{Skew: 5, MaxAge: 100, MaxKeys: 1, MaxAnswerBytes: 10}
		for offset, data := range [][]byte{first, second, first} {
			table.Apply(backoffice.Entry{Offset: int64(offset), At: 1000, Data: data}, 1)
		}
		if table.Len() > 1 || table.answerBytes > 10 || table.Next() != 3 {
			t.Errorf("table has %d keys, %d bytes of answers and next offset %d, want at most 1, at most 10 and 3", table.Len(), table.answerBytes, table.Next())
		}
	})
}
