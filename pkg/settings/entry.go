package settings

import "carawayknot.example/carawayknot/pkg/clock"

// Entry has the settings of an instance that serves routes of the users' platform.
type Entry struct {
	// Name is unique among the instances.
	Name string
	// Zone is the availability zone of this instance.
	Zone string
	// CallerAddress, ReadyAddress, AdminAddress and PeerAddress are listen addresses, as ip:port.
	CallerAddress string
	ReadyAddress  string
	AdminAddress  string
	PeerAddress   string
	// StoreAddress is the address of the platform's metadata store, as ip:port.
	StoreAddress string
	Machine      Resources
	Bounds       Bounds
	Duties       Duties
	Policy       Policy
	Logging      Logging
}

// Bounds are time limits that the platform requires, in milliseconds unless the name has another unit.
type Bounds struct {
	// Revocation is how long a key may still be used after its revocation.
	Revocation clock.Millis
	// ConfigApply is how long a superseded configuration may still be used.
	ConfigApply clock.Millis
	// Drain is how long a draining upstream may still get requests.
	Drain clock.Millis
	// GraceSeconds is the time from the stop signal until the process must have exited, in seconds.
	GraceSeconds float64
	// SessionSeconds is how long a session lasts after its last request, in seconds.
	SessionSeconds float64
	// ExposureShare is the share of a service's requests in the span of a rollout that a bad release may get, and ExposureSlack how
	// many requests more.
	ExposureShare float64
	ExposureSlack float64
	// RetryShare is the number of attempts beyond the first that a service may get from all instances together for each request, and
	// RetrySlack how many more, in any time of RetryWindowSeconds.
	RetryShare         float64
	RetrySlack         float64
	RetryWindowSeconds float64
}

// RetryWindow returns the time in which retries are bounded, in milliseconds.
func (b *Bounds) RetryWindow() clock.Millis { return fromSeconds(b.RetryWindowSeconds) }

// Grace returns the time from the stop signal until the process must have exited, in milliseconds.
func (b *Bounds) Grace() clock.Millis { return fromSeconds(b.GraceSeconds) }

// Session returns how long a session lasts after its last request, in milliseconds.
func (b *Bounds) Session() clock.Millis { return fromSeconds(b.SessionSeconds) }

func fromSeconds(s float64) clock.Millis { return clock.Millis(s * float64(clock.Second)) }

// Policy has the routing settings that operators may change.
type Policy struct {
	// LeastConfidence is the probability, in percent, that a model is up to a request, below which its response is replaced by a larger
	// model's.
	LeastConfidence int
	// RetryShare is the retry budget: it bounds the attempts after the first, as a share of the requests.
	RetryShare float64
}

// DefaultEntry returns the values of settings that a file does not set.
func DefaultEntry() Entry {
	return Entry{
		AdminAddress: "127.0.0.1:8081",
		Machine:      Resources{MemoryMegabytes: 256, Descriptors: 4096, Cores: 1},
		Bounds: Bounds{
			Revocation:         5 * clock.Second,
			ConfigApply:        2 * clock.Second,
			Drain:              2 * clock.Second,
			GraceSeconds:       8,
			SessionSeconds:     5,
			ExposureShare:      0.1,
			RetryShare:         0.75,
			RetrySlack:         20,
			RetryWindowSeconds: 10,
		},
		Duties: Duties{
			PerSecond:           10,
			FencingRequired:     true,
			Lease:               3 * clock.Second,
			Thaw:                300,
			ReportWindowSeconds: 5,
			UsageDelaySeconds:   10,
			UsageTolerance:      0.05,
		},
		Policy:  Policy{LeastConfidence: 75, RetryShare: 1},
		Logging: Logging{Format: "json"},
	}
}

// LoadEntry reads a settings file and returns the errors of ParseEntry, with the path of the file, and those of reading it.
func LoadEntry(path string) (*Entry, error) { return load(path, ParseEntry) }

// ParseEntry reads settings in JSON with comments, applies the defaults and checks each field; its errors are *FieldError.
func ParseEntry(b []byte) (*Entry, error) { return parse(b, DefaultEntry(), entryChecks) }

const (
	minMemoryMegabytes = 32
	maxMemoryMegabytes = 1 << 20
	minDescriptors     = 64
	maxCores           = 1024
	maxConfidence      = 100
	maxRetryShare      = 10
)

func entryChecks(e *Entry) []fieldCheck {
	m, b, p := &e.Machine, &e.Bounds, &e.Policy
	return append(dutyChecks(&e.Duties), []fieldCheck{
		checkName("Name", e.Name),
		checkName("Zone", e.Zone),
		checkAddress("CallerAddress", e.CallerAddress),
		checkAddress("ReadyAddress", e.ReadyAddress),
		checkAddress("AdminAddress", e.AdminAddress),
		checkAddress("PeerAddress", e.PeerAddress),
		checkAddress("StoreAddress", e.StoreAddress),
		{"Machine.MemoryMegabytes", m.MemoryMegabytes >= minMemoryMegabytes && m.MemoryMegabytes <= maxMemoryMegabytes, "a number of megabytes from 32 to 1048576"},
		{"Machine.Descriptors", m.Descriptors >= minDescriptors, "a whole number of at least 64"},
		{"Machine.Cores", m.Cores >= 1 && m.Cores <= maxCores, "a whole number from 1 to 1024"},
		checkDuration("Bounds.Revocation", b.Revocation, minPropagation),
		checkDuration("Bounds.ConfigApply", b.ConfigApply, minPropagation),
		checkDuration("Bounds.Drain", b.Drain, minPropagation),
		checkDuration("Bounds.GraceSeconds", b.Grace(), clock.Second),
		checkDuration("Bounds.SessionSeconds", b.Session(), 1),
		{"Bounds.ExposureShare", b.ExposureShare > 0 && b.ExposureShare <= 1, "a number above 0, up to 1"},
		{"Bounds.ExposureSlack", b.ExposureSlack >= 0, "a number of at least 0"},
		{"Bounds.RetryShare", b.RetryShare >= 0 && b.RetryShare <= maxRetryShare, "a number from 0 to 10"},
		{"Bounds.RetrySlack", b.RetrySlack >= 0, "a number of at least 0"},
		checkDuration("Bounds.RetryWindowSeconds", b.RetryWindow(), clock.Second),
		{"Policy.LeastConfidence", p.LeastConfidence >= 0 && p.LeastConfidence <= maxConfidence, "a whole number from 0 to 100"},
		{"Policy.RetryShare", p.RetryShare >= 0 && p.RetryShare <= 1, "a number from 0 to 1"},
		{"Logging.Format", e.Logging.Format == "json" || e.Logging.Format == "console", `"json" or "console"`},
		{"Logging.Verbosity", e.Logging.Verbosity >= 0 && e.Logging.Verbosity <= maxVerbosity, "a whole number from 0 to 9"},
	}...)
}
