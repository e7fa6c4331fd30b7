// Package desk has the HTTP interfaces for callers and operators.
package desk
