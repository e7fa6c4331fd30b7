package usage

import (
	"context"
	"slices"
	"sync"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
)

const (
	// maxCalls bounds the calls to other instances at a time.
	maxCalls = 32
	// standbys is the number of members that stand by for a holder.
	standbys = 2
	// noWindow is a window that is never reached, to ask for the time only.
	noWindow int64 = 1 << 40
)

// collect takes the counts that were pushed and asks the members for those that are missing.
func (r *Reporter) collect(ctx context.Context, lease duty.Lease) {
	r.mu.Lock()
	pushed := r.pushed
	r.pushed = nil
	r.mu.Unlock()
	for _, p := range pushed {
		for _, item := range p.Items {
			r.collector.add(item.Member, item.Counts)
		}
	}
	now := r.Clock.Now()
	// A holder that drains is no member any more.
	r.collector.setMembers(append([]catalogue.Member{{Name: r.Self}}, r.Members()...))
	args := CountsArgs{Holder: r.Self, Token: lease.Token, Length: r.Length, First: noWindow}
	offset, known := r.collector.timeOffset()
	window := int64(-1)
	if !known {
		offset = r.Clock.Wall() - now
	} else {
		if r.state.Next == 0 {
			return
		}
		args.First = r.state.Next
		window = r.windowAt(now+offset-settleTime) - 1
	}
	for _, rep := range r.ask(ctx, r.collector.due(now, window), args, offset, window) {
		if rep.err != nil {
			r.Log.V(1).Info("counts of usage not received", "member", rep.member, "error", rep.err.Error())
		} else if len(rep.counts.Windows) > 0 {
			r.Log.V(1).Info("counts of usage received", "member", rep.member, "process", rep.counts.ID, "windows", rep.counts.Windows)
		}
		r.collector.apply(rep)
	}
	r.asked = r.asked || args.First != noWindow
}

// ask calls members and returns their replies; the true time is the monotonic time plus offset.
func (r *Reporter) ask(ctx context.Context, members []string, args CountsArgs, offset clock.Millis, window int64) []reply {
	replies := make([]reply, len(members))
	standbys := r.standbys()
	slots := make(chan struct{}, maxCalls)
	var wg sync.WaitGroup
	for i, member := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			own := args
			own.Standby = member == r.Self || slices.Contains(standbys, member)
			replies[i] = r.askOne(ctx, member, own, offset)
			replies[i].window = window
		})
	}
	wg.Wait()
	return replies
}

// standbys returns the first members, in the order of candidates, that answer.
func (r *Reporter) standbys() []string {
	var answering []catalogue.Member
	for _, m := range r.Members() {
		if m.Name != r.Self && r.collector.answers(m.Name) {
			answering = append(answering, m)
		}
	}
	var names []string
	for _, m := range r.Order(answering) {
		names = append(names, m.Name)
	}
	return names[:min(standbys, len(names))]
}

func (r *Reporter) askOne(ctx context.Context, member string, args CountsArgs, offset clock.Millis) reply {
	rep := reply{member: member, sentAt: r.Clock.Now()}
	args.TrueTime = rep.sentAt + offset
	if member == r.Self {
		rep.err = r.Local.Counts(args, &rep.counts)
	} else {
		rep.err = r.Network.CallWithin(ctx, callTimeout, member, ServiceName+".Counts", args, &rep.counts)
	}
	rep.at = r.Clock.Now()
	return rep
}
