package gateway

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// membersReadDelay is the time between the registration of this instance and the first read of the members: instances that
	// start together then appear in one read instead of one each.
	membersReadDelay clock.Millis = 350
	// membersTimeout is how long reads of the other topics wait for the members, and the first read of the members for the
	// registration; it is shorter than a read may take.
	membersTimeout clock.Millis = 1000
	// registerRetryDelay is the delay between attempts to write this instance to the members' topic.
	registerRetryDelay clock.Millis = 1000
	// registerTimeout bounds one attempt.
	registerTimeout clock.Millis = 1500
	// registerSpread is the time over which instances spread their registrations when the store lost those of all.
	registerSpread clock.Millis = 2000
)

// MemberRecord is an entry instance in the members' topic, or its removal.
type MemberRecord struct {
	Member  catalogue.Member
	Removed bool
}

// RecordWriter appends records to topics; an empty value removes the key.
type RecordWriter interface {
	Put(ctx context.Context, topic archive.TopicName, key string, value []byte) error
	// PutIf appends a record to a topic that ends at the given offset; otherwise the error is an *archive.ConditionError.
	PutIf(ctx context.Context, topic archive.TopicName, key string, value []byte, at int64) (end int64, err error)
}

// decodeMember decodes a record of the members' topic, whose format this project defines, unlike those of the other topics.
func decodeMember(r archive.Record) (MemberRecord, error) {
	m := MemberRecord{Member: catalogue.Member{Name: r.Key}, Removed: len(r.Value) == 0}
	if m.Removed {
		return m, nil
	}
	if err := json.Unmarshal(r.Value, &m.Member); err != nil {
		return m, errors.Wrap(err, "decode member record")
	}
	if m.Member.Name != r.Key || m.Member.PeerAddress == "" {
		return m, errors.New("member record names another member or has no address")
	}
	return m, nil
}

// register writes this instance to the members' topic, and again when a store back from an older copy lacks it.
func (in *Instance) register(ctx context.Context) error {
	value, err := json.Marshal(in.self)
	if err != nil {
		return errors.Wrap(err, "encode member record")
	}
	if err := in.putMemberUntilStored(ctx, value); err != nil {
		return err
	}
	close(in.registered)
	for {
		select {
		case <-in.registrationLost:
		case <-ctx.Done():
			return ctx.Err()
		}
		spread := clock.Millis(request.HashFraction("register", in.self.Name) * float64(registerSpread))
		if err := clock.Sleep(ctx, in.Clock, spread); err != nil {
			return err
		}
		if in.draining.Load() {
			continue
		}
		in.Log.Info("the store lacks this member, registering again")
		if err := in.putMemberUntilStored(ctx, value); err != nil {
			return err
		}
		if in.draining.Load() {
			// The removal may have reached the store before the registration.
			in.deregister()
		}
	}
}

// putMemberUntilStored writes the record of this instance and retries until the store has it.
func (in *Instance) putMemberUntilStored(ctx context.Context, value []byte) error {
	for {
		err := in.putMember(ctx, value)
		if err == nil {
			return nil
		}
		in.Log.Info("registration as a member failed; retrying", "error", err.Error())
		if err := clock.Sleep(ctx, in.Clock, registerRetryDelay); err != nil {
			return err
		}
	}
}

// checkRegistration wakes register when the members' topic lacks this instance although it was registered: a store back from an older copy,
// or a late write of an earlier start under the same name, has taken it out.
func (in *Instance) checkRegistration(b archive.Batch[MemberRecord]) {
	select {
	case <-in.registered:
	default:
		return
	}
	listed := !b.Whole
	for _, m := range b.Items {
		if m.Member.Name == in.self.Name {
			sameStart := m.Member.Incarnation == in.self.Incarnation
			listed = !m.Removed && (sameStart || !b.Whole && m.Member.Incarnation > in.self.Incarnation)
		}
	}
	if listed {
		return
	}
	select {
	case in.registrationLost <- struct{}{}:
	default:
	}
}

func (in *Instance) putMember(ctx context.Context, value []byte) error {
	ctx, cancel := clock.WithTimeout(ctx, in.Clock, registerTimeout)
	defer cancel()
	return in.Records.Put(ctx, archive.TopicMembers, in.self.Name, value)
}

// deregister removes this instance from the members' topic; if that fails, other instances call it in vain for a while.
func (in *Instance) deregister() {
	if err := in.putMember(context.Background(), nil); err != nil {
		in.Log.Info("removal from the members' topic failed", "error", err.Error())
	}
}

// olderMembers returns the members of this instance's zone that started before it, oldest first, and the number of members in the
// zone.
func (in *Instance) olderMembers() (names []string, zone int) {
	var older []catalogue.Member
	for _, m := range in.control.Snapshot().Members {
		if m.Zone != in.self.Zone {
			continue
		}
		zone++
		if m.Name != in.self.Name && compareAge(m, in.self) < 0 {
			older = append(older, m)
		}
	}
	slices.SortFunc(older, compareAge)
	for _, m := range older {
		names = append(names, m.Name)
	}
	return names, zone
}

// zoneLeaders returns the longest running member of each zone, by zone.
func (in *Instance) zoneLeaders() map[string]string {
	leaders := map[string]catalogue.Member{}
	for _, m := range in.control.Snapshot().Members {
		if leader, known := leaders[m.Zone]; !known || compareAge(m, leader) < 0 {
			leaders[m.Zone] = m
		}
	}
	names := make(map[string]string, len(leaders))
	for zone, m := range leaders {
		names[zone] = m.Name
	}
	return names
}

// compareAge orders members by start, the oldest first, and by name when they started at the same time.
func compareAge(a, b catalogue.Member) int {
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	case a.Name < b.Name:
		return -1
	}
	return 1
}

// awaitMembers waits until the members were read, at most for membersTimeout.
func (in *Instance) awaitMembers(ctx context.Context) {
	timeout, stop := in.Clock.Timer(membersTimeout)
	defer stop()
	select {
	case <-in.membersRead:
	case <-timeout:
	case <-ctx.Done():
	}
}

// followMembers follows the members' topic once this instance is registered, at the latest after membersTimeout.
func (in *Instance) followMembers(ctx context.Context) error {
	timeout, stop := in.Clock.Timer(membersTimeout)
	defer stop()
	select {
	case <-in.registered:
		_ = clock.Sleep(ctx, in.Clock, membersReadDelay)
	case <-timeout:
	case <-ctx.Done():
	}
	return followTopic(ctx, in, archive.TopicMembers, membersWait, decodeMember, in.checkRegistration)
}
