package session

import (
	"container/list"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	defaultMaxSessions = 20000
	defaultExpiry      = 6 * 3600 * clock.Second
)

// SessionPins has the pins of one session; Session is a digest of workspace and session.
type SessionPins struct {
	Session string
	Pins    []Pin
}

// PutArgs has the pins that Keeper.Put merges with those held.
type PutArgs struct {
	Sessions []SessionPins
}

// PutReply has the merged pins of the sessions in PutArgs, in the same order.
type PutReply struct {
	Sessions []SessionPins
}

// Keeper is an LRU cache of the pins of sessions; it is a net/rpc receiver and safe for concurrent use.
type Keeper struct {
	Common settings.Common
	// MaxSessions bounds the number of sessions; 0 means 20,000.
	MaxSessions int
	// Expiry is how long a session is held after its last use; 0 means six hours.
	Expiry clock.Millis

	mu       sync.Mutex
	sessions map[string]*list.Element
	// used has the sessions by last use, most recent first.
	used list.List
}

// heldSession is one session in a Keeper; usedAt is a monotonic time.
type heldSession struct {
	session string
	pins    []Pin
	usedAt  clock.Millis
}

// Put merges the pins into those held and returns the result; a session without pins is only looked up.
func (k *Keeper) Put(args *PutArgs, reply *PutReply) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	reply.Sessions = make([]SessionPins, len(args.Sessions))
	for i, s := range args.Sessions {
		reply.Sessions[i] = SessionPins{Session: s.Session, Pins: k.put(s)}
	}
	return nil
}

func (k *Keeper) put(s SessionPins) []Pin {
	e := k.sessions[s.Session]
	if e == nil {
		if len(s.Pins) == 0 {
			return nil
		}
		if k.sessions == nil {
			k.sessions = map[string]*list.Element{}
		}
		e = k.used.PushFront(&heldSession{session: s.Session})
		k.sessions[s.Session] = e
	}
	held := e.Value.(*heldSession)
	held.pins = merge(held.pins, s.Pins)
	held.usedAt = k.Common.Clock.Now()
	k.used.MoveToFront(e)
	if k.used.Len() > k.maxSessions() {
		k.drop(k.used.Back())
	}
	return held.pins
}

func (k *Keeper) maxSessions() int {
	if k.MaxSessions > 0 {
		return k.MaxSessions
	}
	return defaultMaxSessions
}

func (k *Keeper) expire() {
	expiry := k.Expiry
	if expiry == 0 {
		expiry = defaultExpiry
	}
	before := k.Common.Clock.Now() - expiry
	for e := k.used.Back(); e != nil && e.Value.(*heldSession).usedAt < before; e = k.used.Back() {
		k.drop(e)
	}
}

func (k *Keeper) drop(e *list.Element) {
	delete(k.sessions, e.Value.(*heldSession).session)
	k.used.Remove(e)
}

// Sessions returns all sessions held, most recently used first.
func (k *Keeper) Sessions() []SessionPins {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	all := make([]SessionPins, 0, k.used.Len())
	for e := k.used.Front(); e != nil; e = e.Next() {
		held := e.Value.(*heldSession)
		all = append(all, SessionPins{Session: held.session, Pins: held.pins})
	}
	return all
}
