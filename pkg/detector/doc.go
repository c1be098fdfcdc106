// Package detector detects pauses of the process, such as a stopped process or a machine without processor time. Requests that callers
// sent during a pause have waited unread in the sockets' buffers, and the time for which their callers wait has run meanwhile.
package detector
