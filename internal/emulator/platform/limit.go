package platform

import "time"

// rateLimiter is a fixed-window rate limiter with windows of one second.
type rateLimiter struct {
	perSecond int
	second    int64
	used      int
}

func (l *rateLimiter) allow(now time.Time) bool {
	if second := now.Unix(); second != l.second {
		l.second = second
		l.used = 0
	}
	if l.used >= l.perSecond {
		return false
	}
	l.used++
	return true
}
