// Package rating has the ratings of answers and the detection of versions that turn bad.
package rating
