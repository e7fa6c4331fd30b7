package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/revision"
)

// Guards against an instance that takes keys that were revoked since the copy from which the store came back: one that starts, one that the
// store had turned away for however short a time, and one that only an earlier check allowed to trust the store.
func TestOlderCopyIsDoubted(t *testing.T) {
	// earlier is how long before the first read in the other era the one before that was.
	const earlier clock.Millis = 3000
	read := func(asOf clock.Millis, b archive.Batch[catalogue.Operation]) archive.Batch[catalogue.Operation] {
		b.AsOf = asOf
		return b
	}
	// first and second are the questions of an instance that starts, again those of one that was in touch.
	first, second := revision.Question{Number: 1, Era: 1}, revision.Question{Number: 2, Era: 2, Known: true}
	again := revision.Question{Number: 1, Era: 1, Known: true}
	found := func(q revision.Question, version int64, heard int) revision.Finding {
		f := revision.Finding{Question: q, Newest: version, Heard: heard, Others: 3}
		if version == 5 {
			f.Record, f.Current, f.AsOf = archive.Record{Key: "config", Value: []byte{5}}, true, -800
		}
		return f
	}
	newer := found(first, 5, 1)
	unsettled, partial := newer, found(again, 5, 1)
	unsettled.Current, unsettled.AsOf = false, 0
	partial.Partial = true
	alone := found(again, 0, 0)
	alone.Others = 0
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
		{"nobody knows more", []any{read(900, ofEra(1, operations(true, table(4)))), found(first, 4, 3)}, 0, result{4, 4, 100, 1}},
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
		{"nobody to ask", []any{read(900, ofEra(1, operations(true, table(4)))), found(first, 0, 0)}, 0, result{4, 4, 100, 1}},
		{"in touch until the store came back", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
		}, 0, result{4, 4, 100, 1}},
		{"in touch, read again", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))), read(980, ofEra(1, operations(false))),
		}, 0, result{4, 4, 100, 1}},
		{"in touch, nobody knows more", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))), found(again, 4, 3),
		}, 0, result{4, 4, 50, 1}},
		{"in touch, another instance knows more", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))), found(again, 5, 3),
		}, 0, result{5, 5, 100, 1}},
		{"in touch, the copy has a part of it", []any{
			read(900, ofEra(0, operations(true, table(3)))), read(950, ofEra(1, operations(true, table(4)))), found(again, 5, 3),
		}, 0, result{5, 5, 100, 1}},
		{"in touch, the check goes on", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))), partial,
			read(960, ofEra(1, operations(false))),
		}, 0, result{5, 5, 100, 1}},
		{"in touch, nobody answers", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))), found(again, 0, 0),
		}, confirmGrace - 1, result{4, 4, 100 + confirmGrace - 1, 2}},
		{"in touch, nobody to ask", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))), alone,
		}, confirmGrace - 1, result{4, 4, 100 + confirmGrace - 1, 1}},
		{"in touch, nobody answered for long", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))), alone,
		}, confirmGrace, result{4, 4, 50 + confirmGrace, 1}},
		{"in touch, written again", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
			read(960, ofEra(1, operations(false, table(4)))),
		}, 0, result{4, 4, 40, 1}},
		{"the store comes back twice, nobody knew more the first time", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
			read(960, ofEra(2, operations(true, table(4)))), found(again, 4, 3),
		}, 0, result{4, 4, 100, 2}},
		{"the store comes back twice, nobody knows more", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
			read(960, ofEra(2, operations(true, table(4)))), found(again, 4, 3), found(second, 4, 3),
		}, 0, result{4, 4, 40, 2}},
		{"the store comes back twice, another instance knew more the first time", []any{
			read(900, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
			read(960, ofEra(2, operations(true, table(4)))), found(again, 5, 3),
		}, 0, result{5, 5, 100, 2}},
		{"cut off until the store came back", []any{
			read(900-earlier, ofEra(0, operations(true, table(4)))), read(950, ofEra(1, operations(true, table(4)))),
		}, 0, result{4, 4, 100 + earlier, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			control := newTestControl(t, func(c *Control) {
				c.OnDoubt = func(revision.Question) { asked++ }
				c.DecodeOperation = func(r archive.Record) (catalogue.Operation, error) {
					return table(int64(r.Value[0])), nil
				}
			})
			control.clock.Advance(earlier)
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

// Guards against orders and zones out that an instance doesn't know because the store had turned it away when they were written, and came back
// from a copy without them.
func TestOperationsOfOthersAreTakenOver(t *testing.T) {
	type state struct {
		Target string
		Zone   bool
	}
	// told is what the instance tells others after it has taken over operations.
	told := revision.Reply{Before: revision.Position{Next: 9}, Orders: []catalogue.ReleaseOrder{{Service: "lm", Target: "v3"}}, ZonesOut: []string{"z"}}
	op := func(era, next int64, b archive.Batch[catalogue.Operation]) archive.Batch[catalogue.Operation] {
		b.Era, b.Next = era, next
		return b
	}
	q := revision.Question{Number: 1, Era: 2, Known: true}
	found := func(next int64) revision.Finding {
		return revision.Finding{
			Question: q, Newest: 4, Heard: 3, Others: 3, Before: revision.Position{Next: next},
			Orders: []catalogue.ReleaseOrder{{Service: "lm", Target: "v3"}}, ZonesOut: []string{"z"},
		}
	}
	late := found(9)
	late.Question.Number = 7
	before := []any{op(0, 6, operations(true, table(4), order("v2", false))), op(2, 5, operations(true, table(4)))}
	for _, c := range []struct {
		name     string
		messages []any
		// later is how much later the state is observed.
		later clock.Millis
		want  state
	}{
		{"not asked", before, 0, state{Target: "v2"}},
		{"another instance had read more", append(before[:2:2], found(9)), 0, state{"v3", true}},
		{"it had read as much", append(before[:2:2], found(6)), 0, state{Target: "v2"}},
		{"answers to another question", append(before[:2:2], late), 0, state{Target: "v2"}},
		{"not written again", append(before[:2:2], found(9)), confirmGrace, state{}},
		{"written again", append(before[:2:2], found(9), op(2, 7, operations(false, order("v3", false), zoneOut("z", false)))), confirmGrace, state{"v3", true}},
		{"removed", append(before[:2:2], found(9), op(2, 7, operations(false, order("v3", true), zoneOut("z", true)))), 0, state{}},
		{"the copy has an earlier order", []any{
			op(0, 6, operations(true, table(4))), op(2, 5, operations(true, table(4), order("v1", false))), found(9),
		}, confirmGrace, state{Target: "v1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			control := newTestControl(t, func(c *Control) { c.OnDoubt = func(revision.Question) {} })
			control.sendAll(c.messages...)
			if c.later > 0 {
				control.clock.Advance(c.later)
				control.sendAll(expiryDue{})
			}
			if c.name == "another instance had read more" {
				known := control.Known(revision.Args{})
				if diff := cmp.Diff(told, revision.Reply{Before: known.Before, Orders: known.Orders, ZonesOut: known.ZonesOut}); diff != "" {
					t.Errorf("told to others (-want +got):\n%s", diff)
				}
			}
			got := state{Target: control.view.orders["lm"].Target, Zone: control.view.zonesOut["z"]}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
