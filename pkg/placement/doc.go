// Package placement predicts when each upstream of a service would begin to answer a call, and places the call by what its caller and
// those behind it get: from the work that waits there, the pace of the machine and the parts of the prompt that its cache still keeps.
package placement
