package settings

import "carawayknot.example/carawayknot/pkg/clock"

// Settings are what a daemon is started with; times are in milliseconds, sizes in bytes.
type Settings struct {
	// Name is unique among the entry instances and stays the same over restarts.
	Name string
	// Zone is the availability zone of this instance.
	Zone string
	// CallerAddress, AdminAddress and PeerAddress are listen addresses, as ip:port.
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
	Platform      Platform
	Keys          Keys
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

// Keys names files that hold one secret each.
type Keys struct {
	// AdminFile has the key that operators send.
	AdminFile string
	// PeerFile has the key that entry instances show one another.
	PeerFile string
	// SessionFile has the key that signs session pins.
	SessionFile string
}

// Limits bound what an instance takes on.
type Limits struct {
	// BodyBytes bounds the body of one request.
	BodyBytes int64
	// AnswerBytes bounds the bytes of answers held for readers, over all requests.
	AnswerBytes int64
	// RequestBytes bounds the bytes held for one reader.
	RequestBytes int64
	// InFlight bounds the requests in flight.
	InFlight int
	// RetryShare bounds the sends beyond the first, as a share of the requests.
	RetryShare float64
}

// Times are periods and time limits, in milliseconds.
type Times struct {
	// Horizon is the age at which the view of the configuration is too old to decide on.
	Horizon clock.Millis
	// LogWait is how long a read of the log may wait for new records.
	LogWait clock.Millis
	// ListPoll is the period of reading the list of instances.
	ListPoll clock.Millis
	// ListLag bounds how far the list of instances lags behind.
	ListLag clock.Millis
	// ColdLease is the age of the list at which this instance gives up its share of upstreams in cold start.
	ColdLease clock.Millis
	// ColdHold bounds how long a request stays at an upstream in cold start.
	ColdHold clock.Millis
	// LoadPoll is the period of reading the load of an upstream.
	LoadPoll clock.Millis
	// RatingPoll is the period of reading ratings.
	RatingPoll clock.Millis
	// PeerTick is the period of the exchange with other instances.
	PeerTick clock.Millis
	// Connect bounds connecting to an upstream.
	Connect clock.Millis
	// Stall is the time without a byte after which an upstream's answer is given up.
	Stall clock.Millis
	// SlowReader is the time a full buffer is waited for before the upstream is cancelled.
	SlowReader clock.Millis
	// Drain bounds a graceful shutdown.
	Drain clock.Millis
}

// Logging chooses the form and the detail of logs.
type Logging struct {
	// Format is "json" or "console".
	Format string
	// Verbosity is the highest level that is logged, 0 is the least.
	Verbosity int
}

// Default returns the settings that hold where a file is silent.
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
