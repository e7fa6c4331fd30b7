package gateway

import (
	"context"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/custody"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// descriptorsPerRequest counts the sockets of a request: to the caller, to the upstream, and one that is closing.
	descriptorsPerRequest = 3
	// kilobytesPerRequest is an upper bound on the average memory of a request: body, buffers and stacks.
	kilobytesPerRequest = 128
	// memoryFraction is the fraction of the memory available to requests.
	memoryFraction = 0.5

	// Parts of the descriptors: for files, at most maxFileDescriptors, and for connections of other instances.
	fileDescriptorFraction = 0.125
	maxFileDescriptors     = 200
	peerDescriptorFraction = 0.125
	// controlConns is the number of connections at each of the addresses for readiness and for operators.
	controlConns = 12
	// readyBytes and adminBytes bound what is held for those connections.
	readyBytes = 1 << 20
	adminBytes = 2 << 20
	// peerMemoryFraction is the part of the memory for messages of other instances.
	peerMemoryFraction = 0.03125
	// idleUpstreamConns and idleInstanceConns are the idle connections to upstreams and to other instances for each request that may be in
	// flight, and upstreamConnsPerRequest all of them, with the one in use.
	idleUpstreamConns       = 0.2
	idleInstanceConns       = 0.05
	upstreamConnsPerRequest = 1 + idleUpstreamConns + idleInstanceConns

	// defaultHeadTimeout, defaultIdleTimeout and bodyTimeout apply where the configuration has no limit.
	defaultHeadTimeout = 10 * clock.Second
	defaultIdleTimeout = 120 * clock.Second
	bodyTimeout        = 30 * clock.Second
	// controlTimeout bounds the time of a request, and of an idle connection, at the addresses for readiness and for operators.
	controlTimeout = 10 * clock.Second
)

// accounts bound what the instance holds for the clients of each of its addresses.
type accounts struct {
	callers, ready, admin, peers *custody.Account
}

// maxInFlight returns the number of requests that may be in flight.
func maxInFlight(m *settings.Resources) int {
	return min(m.Descriptors/descriptorsPerRequest, int(memoryFraction*float64(m.MemoryMegabytes<<10)/kilobytesPerRequest))
}

func (in *Instance) buildAccounts() {
	m := &in.Settings.Machine
	d := float64(m.Descriptors)
	c := clock.NewAwake()
	files := min(maxFileDescriptors, int(fileDescriptorFraction*d))
	peers := int(peerDescriptorFraction * d)
	callers := m.Descriptors - files - peers - 2*controlConns - int(upstreamConnsPerRequest*float64(maxInFlight(m)))
	in.accounts = accounts{
		callers: in.newAccount(c, "caller", callers, m.HeldBytes(), in.callerLimits),
		ready:   in.newAccount(c, "ready", controlConns, readyBytes, controlLimits),
		admin:   in.newAccount(c, "admin", controlConns, adminBytes, controlLimits),
		peers:   in.newAccount(c, "peer", peers, int64(peers)*custody.ConnBytes+int64(peerMemoryFraction*float64(m.MemoryMegabytes<<20)), nil),
	}
}

func (in *Instance) newAccount(c clock.Clock, name string, conns int, bytes int64, limits func() custody.Limits) *custody.Account {
	a := &custody.Account{
		Clock: c, Log: in.Log.WithName("custody").WithValues("listener", name), Conns: max(1, conns), Bytes: bytes, Limits: limits,
	}
	in.registerAccount(name, a)
	return a
}

// callerLimits returns the time limits of the configuration.
func (in *Instance) callerLimits() custody.Limits {
	l := custody.Limits{Head: defaultHeadTimeout, Idle: defaultIdleTimeout, Body: bodyTimeout}
	t := in.control.Snapshot().Routes
	if t == nil {
		return l
	}
	if t.HeaderTimeout > 0 {
		l.Head = t.HeaderTimeout
	}
	if t.IdleTimeout > 0 {
		l.Idle = t.IdleTimeout
	}
	return l
}

func controlLimits() custody.Limits {
	return custody.Limits{Head: controlTimeout, Idle: controlTimeout, Body: controlTimeout}
}

// registerAccount registers the metrics of an account.
func (in *Instance) registerAccount(name string, a *custody.Account) {
	in.metrics.RegisterGauge("carawayknot_client_connections", "Open connections.", func() float64 { return float64(a.Stats().Conns) }, "listener", name)
	in.metrics.RegisterGauge("carawayknot_client_bytes", "Bytes that are held for clients.", func() float64 { return float64(a.Stats().HeldBytes) }, "listener", name)
	for cause, read := range map[string]func(s custody.Stats) int64{
		"refused": func(s custody.Stats) int64 { return s.Refused },
		"evicted": func(s custody.Stats) int64 { return s.Evicted },
		"timeout": func(s custody.Stats) int64 { return s.TimedOut },
		"memory":  func(s custody.Stats) int64 { return s.Denied },
	} {
		in.metrics.RegisterCounter("carawayknot_clients_cut_off_total", "Connections that were closed, or requests refused, for want of room or time.",
			func() float64 { return float64(read(a.Stats())) }, "listener", name, "cause", cause)
	}
}

// runAccounts enforces the time limits of the clients.
func (in *Instance) runAccounts(ctx context.Context) error {
	a := &in.accounts
	return custody.Run(ctx, a.callers.Clock, a.callers, a.ready, a.admin, a.peers)
}
