// Package guestbook has the pins that keep a session on its version.
package guestbook
