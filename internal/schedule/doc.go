// Package schedule runs models under generated schedules; only tests import it.
package schedule
