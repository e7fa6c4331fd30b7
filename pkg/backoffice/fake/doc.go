// Package fake has in-memory fakes of the platform's services, with the method sets of the clients in package platform.
package fake
