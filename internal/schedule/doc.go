// Package schedule runs models of a mechanism under randomly generated schedules of events; only tests import it.
package schedule
