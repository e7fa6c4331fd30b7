package settings

// Resources are what the instance may use of its host.
type Resources struct {
	MemoryMegabytes int
	// Descriptors bounds the open file descriptors, sockets included.
	Descriptors int
	Cores       int
}

const (
	// ownMegabytes is the memory of an instance without requests: the program, the runtime and the view of a large system.
	ownMegabytes = 40
	// heldFraction is the part of the remaining memory that may be held for clients; the rest is for garbage and for the kernel's buffers.
	heldFraction = 0.5
	// minHeldFraction is the part of the whole memory that may be held on small machines.
	minHeldFraction = 0.125
	// programMegabytes is the memory that the Go runtime doesn't count: the pages of the program.
	programMegabytes = 12
	// collectorFraction is the soft memory limit of the garbage collector as a fraction of the memory that it counts.
	collectorFraction = 0.75
)

// HeldBytes returns how many bytes the instance may hold for its clients.
func (r *Resources) HeldBytes() int64 {
	m := float64(r.MemoryMegabytes)
	return int64(max(minHeldFraction*m, heldFraction*(m-ownMegabytes)) * (1 << 20))
}

// CollectorBytes returns the soft memory limit of the garbage collector.
func (r *Resources) CollectorBytes() int64 {
	return int64(collectorFraction * float64((r.MemoryMegabytes-programMegabytes)<<20))
}
