// Package membership has the membership of the entry instances and the exchange between them.
package membership
