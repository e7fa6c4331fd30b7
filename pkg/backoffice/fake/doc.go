// Package fake has in-memory fakes of the platform's services, with the methods of the clients in package backoffice and with
// faults that tests can inject.
package fake
