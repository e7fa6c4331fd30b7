package membership

import (
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/clock"
)

// ReaderName is the name under which instances read of each other what they know of the store.
const ReaderName = "Reader"

// maxPeerWait bounds how long another instance's read may wait here, in milliseconds.
const maxPeerWait = 30 * clock.Second

// wholePeriod is how often it is looked whether a topic has been read, in milliseconds.
const wholePeriod clock.Millis = 20

// ReadArgs asks for the records of a topic from a position on, or for the newest of each key when Whole is set.
type ReadArgs struct {
	Topic archive.TopicName
	Whole bool
	From  int64
	Wait  clock.Millis
}

// ReadReply answers a read; times are in milliseconds.
type ReadReply struct {
	Records []archive.Record
	Next    int64
	// Trimmed is true when the records are not known here any more.
	Trimmed bool
	// Waited is how long the read waited here, and Age how old the newest read of the store was at its end.
	Waited clock.Millis
	Age    clock.Millis
}

// Reader lets other instances read what this one knows of the store.
type Reader struct {
	Clock clock.Clock
	Cache *archive.Cache
}

// Read answers a read of another instance.
func (r *Reader) Read(args ReadArgs, reply *ReadReply) error {
	began := r.Clock.Now()
	b, err := r.read(args)
	if errors.Is(err, archive.ErrTrimmed) {
		reply.Trimmed = true
		return nil
	}
	if err != nil {
		return err
	}
	now := r.Clock.Now()
	reply.Records, reply.Next = b.Items, b.Next
	reply.Waited, reply.Age = now-began, now-b.SentAt
	return nil
}

func (r *Reader) read(args ReadArgs) (archive.Batch[archive.Record], error) {
	if args.Whole {
		return r.whole(args)
	}
	b, changed, err := r.Cache.After(args.Topic, args.From)
	// One that has read less than the other waits to catch up.
	mayWait := err == nil && len(b.Items) == 0 || errors.Is(err, archive.ErrBehind) && changed != nil
	if !mayWait || args.Wait <= 0 {
		return b, err
	}
	due, stop := r.Clock.Timer(min(args.Wait, maxPeerWait))
	defer stop()
	select {
	case <-changed:
	case <-due:
	}
	b, _, err = r.Cache.After(args.Topic, args.From)
	return b, err
}

// whole returns the newest records of a topic; one that has just started waits until they were read here.
func (r *Reader) whole(args ReadArgs) (archive.Batch[archive.Record], error) {
	due, stop := r.Clock.Timer(min(args.Wait, maxPeerWait))
	defer stop()
	for {
		b, known := r.Cache.Whole(args.Topic)
		if known {
			return b, nil
		}
		pause, cancel := r.Clock.Timer(wholePeriod)
		select {
		case <-pause:
		case <-due:
			cancel()
			return b, errors.New("the topic was not read yet")
		}
	}
}
