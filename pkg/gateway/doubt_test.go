package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/revision"
)

// Guards against an instance that starts, or comes back, on a store from an older copy and takes keys that were revoked since.
func TestOlderCopyIsDoubted(t *testing.T) {
	const maxAge clock.Millis = 3000
	read := func(asOf clock.Millis, b archive.Batch[catalogue.Operation]) archive.Batch[catalogue.Operation] {
		b.AsOf = asOf
		return b
	}
	newer := revision.Finding{Newest: 5, Heard: 1, Record: archive.Record{Key: "config", Value: []byte{5}}, Current: true, AsOf: -800}
	unsettled := newer
	unsettled.Current, unsettled.AsOf = false, 0
	type result struct {
		Version, Known int64
		Age            clock.Millis
		Asked          int
	}
	for _, c := range []struct {
		name     string
		messages []any
		// later is how much later the result is observed.
		later clock.Millis
		want  result
	}{
		{"first era", []any{read(900, ofEra(0, operations(true, table(4))))}, 0, result{4, 4, 100, 0}},
		{"started in a later era", []any{read(900, ofEra(1, operations(true, table(4))))}, 0, result{4, 4, unknownAge, 1}},
		{"nobody knows more", []any{read(900, ofEra(1, operations(true, table(4)))), revision.Finding{Newest: 4, Heard: 3}}, 0, result{4, 4, 100, 1}},
		{"another instance knows more", []any{read(900, ofEra(1, operations(true, table(4)))), newer}, 0, result{5, 5, 1800, 1}},
		{"it knows not whether that is current", []any{read(900, ofEra(1, operations(true, table(4)))), unsettled}, 0, result{5, 5, unknownAge, 1}},
		{"read again without it", []any{
			read(900, ofEra(1, operations(true, table(4)))), newer, read(950, ofEra(1, operations(false))),
		}, 0, result{5, 5, 1800, 1}},
		{"written again", []any{
			read(900, ofEra(1, operations(true, table(4)))), newer, read(950, ofEra(1, operations(false, table(5)))),
		}, 0, result{5, 5, 50, 1}},
		{"the store knows more", []any{read(900, ofEra(1, operations(true, table(6)))), newer}, 0, result{6, 6, 100, 1}},
		{"nobody answers", []any{read(900, ofEra(1, operations(true, table(4))))}, doubtGrace, result{4, 4, 100 + doubtGrace, 1}},
		{"current until the store came back", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
		}, 0, result{4, 4, 50, 0}},
		{"cut off until the store came back", []any{
			read(900-maxAge, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
		}, 0, result{4, 4, 100 + maxAge, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			control := newTestControl(t, func(c *Control) {
				c.MaxAge, c.OnDoubt = maxAge, func() { asked++ }
				c.DecodeOperation = func(r archive.Record) (catalogue.Operation, error) {
					return table(int64(r.Value[0])), nil
				}
			})
			control.clock.Advance(maxAge)
			start := control.clock.Now()
			for _, m := range c.messages {
				if b, ok := m.(archive.Batch[catalogue.Operation]); ok {
					b.AsOf += start - 1000
					m = b
				}
				if f, ok := m.(revision.Finding); ok && f.Current {
					f.AsOf += start - 1000
					m = f
				}
				control.sendAll(m)
			}
			if c.later > 0 {
				control.clock.Advance(c.later)
				control.sendAll(expiryDue{})
			}
			got := result{control.Snapshot().Routes.Version, control.Known(revision.Args{}).Version, control.Age(control.clock.Now()), asked}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
