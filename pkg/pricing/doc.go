// Package pricing has the choice of the version of a request by cost at quality, and cascades of versions.
package pricing
