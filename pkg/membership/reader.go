package membership

import (
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

// ReaderName is the net/rpc service name of Reader.
const ReaderName = "Reader"

// maxPeerWait limits how long a read of another instance waits here, in milliseconds.
const maxPeerWait = 30 * clock.Second

// wholePollPeriod is the interval of checks whether a topic has been read, in milliseconds.
const wholePollPeriod clock.Millis = 20

// ReadArgs requests the records of a topic from a position on, or the newest record of each key when Whole is set.
type ReadArgs struct {
	Topic archive.TopicName
	Whole bool
	// From is the position of the read, or for Whole the one up to which the sender has read.
	From int64
	// Era is that of From, or for Whole the newest one that the sender has seen; 0 when unknown.
	Era  int64
	Wait clock.Millis
}

// ReadReply has the records that were read and their age; times are in milliseconds.
type ReadReply struct {
	Records []archive.Record
	Next    int64
	// Era is that of the records and of Next; 0 when unknown.
	Era int64
	// Trimmed is true when the requested records are no longer kept here.
	Trimmed bool
	// Waited is how long the read waited here, and Age how old the newest read of the store was at its end.
	Waited clock.Millis
	Age    clock.Millis
}

// Reader serves to other instances what this one has read of the store.
type Reader struct {
	Clock clock.Clock
	Cache *archive.Cache
}

// Read replies with records and their age, after a wait of up to args.Wait for new ones.
func (r *Reader) Read(args ReadArgs, reply *ReadReply) error {
	start := r.Clock.Now()
	b, err := r.read(args)
	if errors.Is(err, archive.ErrTrimmed) {
		reply.Trimmed = true
		return nil
	}
	if err != nil {
		return err
	}
	now := r.Clock.Now()
	reply.Records, reply.Next, reply.Era = b.Items, b.Next, b.Era
	reply.Waited, reply.Age = now-start, now-b.AsOf
	return nil
}

func (r *Reader) read(args ReadArgs) (archive.Batch[archive.Record], error) {
	if args.Whole {
		return r.waitWhole(args)
	}
	b, changed, err := r.Cache.ReadFrom(args.Topic, args.Era, args.From)
	// An instance that has read less than the requester waits to catch up.
	mayWait := err == nil && len(b.Items) == 0 || errors.Is(err, archive.ErrBehind) && changed != nil
	if !mayWait || args.Wait <= 0 {
		return b, err
	}
	expired, stop := r.Clock.Timer(min(args.Wait, maxPeerWait))
	defer stop()
	select {
	case <-changed:
	case <-expired:
	}
	b, _, err = r.Cache.ReadFrom(args.Topic, args.Era, args.From)
	return b, err
}

// waitWhole returns the newest records of a topic; an instance that has just started, or that has not noticed yet
// that the store came back from an older copy, waits until it has read them.
func (r *Reader) waitWhole(args ReadArgs) (archive.Batch[archive.Record], error) {
	expired, stop := r.Clock.Timer(min(args.Wait, maxPeerWait))
	defer stop()
	for {
		b, found := r.Cache.Newest(args.Topic)
		if found && b.Era >= args.Era {
			return b, nil
		}
		poll, cancel := r.Clock.Timer(wholePollPeriod)
		select {
		case <-poll:
		case <-expired:
			cancel()
			return b, errors.New("topic has not been read yet")
		}
	}
}
