// Package revision finds out whether other instances hold a newer configuration than the store has, which may lack one after it came back
// from an older copy.
package revision
