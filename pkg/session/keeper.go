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

// SessionPins are the pins of one session.
type SessionPins struct {
	Session string
	Pins    []Pin
}

// PutArgs are pins to hold.
type PutArgs struct {
	Sessions []SessionPins
}

// PutReply has the pins in force of the same sessions, in the same order.
type PutReply struct {
	Sessions []SessionPins
}

// Keeper holds the pins of sessions, those used last up to a bound. It is a net/rpc receiver and safe for concurrent use.
type Keeper struct {
	Common settings.Common
	// MaxSessions bounds the sessions; 0 means 20,000.
	MaxSessions int
	// Expiry is how long a session is held after its last use, in milliseconds; 0 means six hours.
	Expiry clock.Millis

	mu       sync.Mutex
	sessions map[string]*list.Element
	// used has the sessions in the order of their last use, the latest first.
	used list.List
}

// heldSession is one session in a Keeper.
type heldSession struct {
	session string
	pins    []Pin
	usedAt  clock.Millis
}

// Put merges the pins with those held and returns the ones in force. Without pins it only asks.
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
	h := e.Value.(*heldSession)
	h.pins = merge(h.pins, s.Pins)
	h.usedAt = k.Common.Clock.Now()
	k.used.MoveToFront(e)
	if k.used.Len() > k.maxSessions() {
		k.drop(k.used.Back())
	}
	return h.pins
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

// Sessions returns all sessions held, those used last first.
func (k *Keeper) Sessions() []SessionPins {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	all := make([]SessionPins, 0, k.used.Len())
	for e := k.used.Front(); e != nil; e = e.Next() {
		h := e.Value.(*heldSession)
		all = append(all, SessionPins{Session: h.session, Pins: h.pins})
	}
	return all
}
