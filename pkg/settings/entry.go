package settings

import "carawayknot.example/carawayknot/pkg/clock"

// Entry are the settings of an instance that serves routes of the users' platform; times are in milliseconds.
type Entry struct {
	// Name is unique among the entry instances.
	Name string
	// Zone is the availability zone of this instance.
	Zone string
	// CallerAddress, ReadyAddress, AdminAddress and PeerAddress are listen addresses, as ip:port.
	CallerAddress string
	ReadyAddress  string
	AdminAddress  string
	PeerAddress   string
	// StoreAddress is that of the platform's store, as ip:port.
	StoreAddress string
	Machine      Machine
	Bounds       Bounds
	Policy       Policy
	Logging      Logging
}

// Machine is what the instance may use.
type Machine struct {
	MemoryMegabytes int
	// Descriptors bounds the open files and sockets.
	Descriptors int
	Cores       int
}

// Bounds are the times that the platform's rules set, in milliseconds where the name tells no unit.
type Bounds struct {
	// Revocation is how long a key may be used after it was taken away.
	Revocation clock.Millis
	// ConfigApply is how long an older configuration may be used.
	ConfigApply clock.Millis
	// Drain is how long a leaving upstream may get work.
	Drain clock.Millis
	// GraceSeconds is the time from the request to stop to the end of the process, in seconds.
	GraceSeconds float64
	// SessionSeconds is how long a session lasts after its last request, in seconds.
	SessionSeconds float64
}

// Grace returns the time from the request to stop to the end of the process, in milliseconds.
func (b *Bounds) Grace() clock.Millis { return seconds(b.GraceSeconds) }

// Session returns how long a session lasts after its last request, in milliseconds.
func (b *Bounds) Session() clock.Millis { return seconds(b.SessionSeconds) }

func seconds(s float64) clock.Millis { return clock.Millis(s * float64(clock.Second)) }

// Policy has what operators may tune.
type Policy struct {
	// LeastConfidence is the confidence, from 0 to 100, below which a small model's answer is dropped for a larger one's.
	LeastConfidence int
	// RetryShare bounds the sends beyond the first, as a share of the requests.
	RetryShare float64
}

// DefaultEntry returns the settings that hold where a file is silent.
func DefaultEntry() Entry {
	return Entry{
		AdminAddress: "127.0.0.1:8081",
		Machine:      Machine{MemoryMegabytes: 256, Descriptors: 4096, Cores: 1},
		Bounds: Bounds{
			Revocation:     5 * clock.Second,
			ConfigApply:    2 * clock.Second,
			Drain:          2 * clock.Second,
			GraceSeconds:   8,
			SessionSeconds: 5,
		},
		Policy:  Policy{LeastConfidence: 60, RetryShare: 0.75},
		Logging: Logging{Format: "json"},
	}
}

// LoadEntry reads, fills in and checks the settings file of an entry instance.
// Its errors are *FieldError and those of reading the file.
func LoadEntry(path string) (*Entry, error) { return load(path, ParseEntry) }

// ParseEntry reads the settings of an entry instance in JSON with comments.
// Its errors are *FieldError.
func ParseEntry(b []byte) (*Entry, error) { return parse(b, DefaultEntry(), entryChecks) }

const (
	minMegabytes   = 32
	maxMegabytes   = 1 << 20
	minDescriptors = 64
	maxCores       = 1024
	maxConfidence  = 100
)

func entryChecks(e *Entry) []fieldCheck {
	m, b, p := &e.Machine, &e.Bounds, &e.Policy
	return []fieldCheck{
		name("Name", e.Name),
		name("Zone", e.Zone),
		address("CallerAddress", e.CallerAddress),
		address("ReadyAddress", e.ReadyAddress),
		address("AdminAddress", e.AdminAddress),
		address("PeerAddress", e.PeerAddress),
		address("StoreAddress", e.StoreAddress),
		{"Machine.MemoryMegabytes", m.MemoryMegabytes >= minMegabytes && m.MemoryMegabytes <= maxMegabytes, "a number of megabytes from 32 to 1048576"},
		{"Machine.Descriptors", m.Descriptors >= minDescriptors, "a whole number of at least 64"},
		{"Machine.Cores", m.Cores >= 1 && m.Cores <= maxCores, "a whole number from 1 to 1024"},
		span("Bounds.Revocation", b.Revocation, minHorizon),
		span("Bounds.ConfigApply", b.ConfigApply, minHorizon),
		span("Bounds.Drain", b.Drain, minHorizon),
		span("Bounds.GraceSeconds", b.Grace(), clock.Second),
		span("Bounds.SessionSeconds", b.Session(), 1),
		{"Policy.LeastConfidence", p.LeastConfidence >= 0 && p.LeastConfidence <= maxConfidence, "a whole number from 0 to 100"},
		{"Policy.RetryShare", p.RetryShare >= 0 && p.RetryShare <= 1, "a number from 0 to 1"},
		{"Logging.Format", e.Logging.Format == "json" || e.Logging.Format == "console", `"json" or "console"`},
		{"Logging.Verbosity", e.Logging.Verbosity >= 0 && e.Logging.Verbosity <= maxVerbosity, "a whole number from 0 to 9"},
	}
}
