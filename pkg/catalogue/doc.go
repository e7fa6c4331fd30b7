// Package catalogue has the configuration: its objects, the changes to them, the fold of the changes in log order,
// and the snapshot that traffic decides on.
package catalogue
