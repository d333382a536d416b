// Package fireflypath schedules requests for heterogeneous model engines and plain services
// behind one entry point.
package fireflypath
