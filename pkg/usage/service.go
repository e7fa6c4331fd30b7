package usage

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// ServiceName is the net/rpc service name of Service.
const ServiceName = "Usage"

// callTimeout bounds a call to another instance, in milliseconds.
const callTimeout clock.Millis = 800

// Network calls methods of other members.
type Network interface {
	CallWithin(ctx context.Context, timeout clock.Millis, member, method string, args, reply any) error
}

// CountsArgs asks for the counts of an instance.
type CountsArgs struct {
	// Holder is the holder of the lease, and Token its fencing token.
	Holder string
	Token  int64
	// TrueTime is the time at the holder, in Unix milliseconds.
	TrueTime clock.Millis
	// Length is the length of a window in milliseconds, and First the first window that is asked for.
	Length clock.Millis
	First  int64
	// Standby is true if the instance is to acquire the lease when the holder fails.
	Standby bool
}

// CountsReply has the counts of one process.
type CountsReply struct {
	// ID is that of the process.
	ID string
	// Now is its monotonic time, Since the one from which on it counts, and Wall its time of day in Unix milliseconds.
	Now     clock.Millis
	Since   clock.Millis
	Wall    clock.Millis
	Windows []WindowCounts
}

// MemberCounts has the counts of a process of a member.
type MemberCounts struct {
	Member string
	Counts CountsReply
}

// PushArgs has the counts of an instance that ends, and those that it collected as a holder.
type PushArgs struct{ Items []MemberCounts }

// PushReply tells whether the receiver holds the lease.
type PushReply struct{ Held bool }

// Service answers the holder of the lease; it is safe for concurrent use.
type Service struct {
	Clock   clock.Clock
	Log     logr.Logger
	Self    string
	ID      string
	Counter *Counter
	Network Network
	// Since is the monotonic time from which on this process counts, and Length the length of a window, in milliseconds.
	Since  clock.Millis
	Length clock.Millis
	// Collected returns the counts that this instance collected if it was the last holder.
	Collected func() []MemberCounts
	// OnPush receives the counts of an instance that ends, and reports whether this instance holds the lease.
	OnPush func(args PushArgs) bool

	mu sync.Mutex
	// last is the newest request of a holder, askedAt when it came, and offset the difference of the true time and the monotonic time.
	last    CountsArgs
	askedAt clock.Millis
	offset  clock.Millis
	// handedOver is true once the collected counts were told.
	handedOver bool
}

// Counts replies with the counts of this process.
func (s *Service) Counts(args CountsArgs, reply *CountsReply) error {
	now := s.Clock.Now()
	offset := args.TrueTime - now
	s.mu.Lock()
	if args.Token >= s.last.Token {
		s.last, s.askedAt, s.offset = args, now, offset
	}
	s.mu.Unlock()
	*reply = s.reply(now, offset, args.Length, args.First)
	return nil
}

func (s *Service) reply(now, offset, length clock.Millis, first int64) CountsReply {
	return CountsReply{ID: s.ID, Now: now, Since: s.Since, Wall: s.Clock.Wall(), Windows: s.Counter.Windows(offset, length, first)}
}

// Push takes the counts of an instance that ends.
func (s *Service) Push(args PushArgs, reply *PushReply) error {
	reply.Held = s.OnPush(args)
	return nil
}

// Asked returns when a holder last asked for counts, 0 if none has, and whether it wants this instance to stand by.
func (s *Service) Asked() (at clock.Millis, standby bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.askedAt, s.last.Standby
}

// Tell tells the counts of this process to a holder, or to the last one that asked if its name is empty; it returns false unless the receiver
// holds the lease.
func (s *Service) Tell(ctx context.Context, holder string) bool {
	s.mu.Lock()
	args, offset, handedOver := s.last, s.offset, s.handedOver
	s.mu.Unlock()
	if holder == "" {
		holder = args.Holder
	}
	if holder == "" || holder == s.Self {
		return false
	}
	now := s.Clock.Now()
	if args.Holder == "" {
		offset = s.Clock.Wall() - now
	}
	push := PushArgs{Items: []MemberCounts{{Member: s.Self, Counts: s.reply(now, offset, s.Length, args.First)}}}
	if !handedOver {
		push.Items = append(push.Items, s.Collected()...)
	}
	var reply PushReply
	err := s.Network.CallWithin(ctx, callTimeout, holder, ServiceName+".Push", push, &reply)
	if err != nil || !reply.Held {
		s.Log.Info("counts of usage not told", "holder", holder, "held", reply.Held, "error", errorText(err))
	}
	told := err == nil && reply.Held
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOver = s.handedOver || told
	return told
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
