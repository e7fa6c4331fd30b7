package settings

import "carawayknot.example/carawayknot/pkg/clock"

// Settings has the start-up settings of a daemon; times are in milliseconds, sizes in bytes.
type Settings struct {
	// Name is unique among the instances and stays the same across restarts.
	Name string
	// Zone is the availability zone of this instance.
	Zone string
	// CallerAddress, AdminAddress and PeerAddress are listen addresses, as ip:port.
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
	Platform      Platform
	Keys          KeyFiles
	Limits        Limits
	Times         Times
	Logging       Logging
}

// Platform has the base URLs of the platform's services.
type Platform struct {
	Log     string
	List    string
	Ratings string
	Weights string
}

// KeyFiles has the paths of files that hold one secret each.
type KeyFiles struct {
	// AdminFile has the key that authenticates operators.
	AdminFile string
	// PeerFile has the key by which instances authenticate one another.
	PeerFile string
	// SessionFile has the key that signs session pins.
	SessionFile string
}

// Limits bound the resources that requests use on one instance.
type Limits struct {
	// BodyBytes bounds the request body.
	BodyBytes int64
	// AnswerBytes bounds the response bytes buffered for all callers together.
	AnswerBytes int64
	// RequestBytes bounds the response bytes buffered for one request.
	RequestBytes int64
	// InFlight bounds the concurrent requests.
	InFlight int
	// RetryShare is the retry budget: it bounds the attempts after the first, as a share of the requests.
	RetryShare float64
}

// Times are periods and time limits, in milliseconds.
type Times struct {
	// Horizon is the age from which the view of the configuration is too stale for routing decisions.
	Horizon clock.Millis
	// LogWait is the long-polling timeout of reads of the log.
	LogWait clock.Millis
	// ListPoll is the polling period of the instance list.
	ListPoll clock.Millis
	// ListLag bounds the delay until a change appears in the instance list.
	ListLag clock.Millis
	// ColdLease is the age of the instance list at which this instance releases its share of upstreams in cold start.
	ColdLease clock.Millis
	// ColdHold bounds the time of a request at an upstream in cold start.
	ColdHold clock.Millis
	// LoadPoll is the polling period of the load of an upstream.
	LoadPoll clock.Millis
	// RatingPoll is the polling period of ratings.
	RatingPoll clock.Millis
	// PeerTick is the gossip period between instances.
	PeerTick clock.Millis
	// Connect is the timeout of connecting to an upstream.
	Connect clock.Millis
	// Stall is the time without a byte after which an upstream's response is abandoned.
	Stall clock.Millis
	// SlowReader is how long the buffer of a slow caller may stay full before the request at the upstream is cancelled.
	SlowReader clock.Millis
	// Drain bounds a graceful shutdown.
	Drain clock.Millis
}

// Logging has the format and the verbosity of logs.
type Logging struct {
	// Format is "json" or "console".
	Format string
	// Verbosity is the highest logr V-level that is logged.
	Verbosity int
}

// Default returns the values of settings that a file does not set.
func Default() Settings {
	return Settings{
		CallerAddress: "127.0.0.1:8080",
		AdminAddress:  "127.0.0.1:8081",
		PeerAddress:   "127.0.0.1:8082",
		Limits: Limits{
			BodyBytes:    4 << 20,
			AnswerBytes:  64 << 20,
			RequestBytes: 256 << 10,
			InFlight:     2000,
			RetryShare:   0.05,
		},
		Times: Times{
			Horizon:    5 * clock.Second,
			LogWait:    1 * clock.Second,
			ListPoll:   1 * clock.Second,
			ListLag:    3 * clock.Second,
			ColdLease:  3 * clock.Second,
			ColdHold:   10 * clock.Second,
			LoadPoll:   1 * clock.Second,
			RatingPoll: 2 * clock.Second,
			PeerTick:   1 * clock.Second,
			Connect:    1 * clock.Second,
			Stall:      10 * clock.Second,
			SlowReader: 2 * clock.Second,
			Drain:      10 * 60 * clock.Second,
		},
		Logging: Logging{Format: "json"},
	}
}
