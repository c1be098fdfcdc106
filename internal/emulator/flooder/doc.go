// Package flooder emulates a server that sends bytes without end.
package flooder
