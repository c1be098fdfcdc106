// Package caller calls plain services, which are services other than model engines: at most once if a call is not repeatable.
package caller
