// Package fireflypath schedules requests for unlike model engines and plain services behind one front door.
package fireflypath
