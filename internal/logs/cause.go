package logs

import "go.uber.org/zap"

// Cause is an error as its message. zap.Error would add the stack of errors that
// have one: kilobytes a line, written when a host has least time for them.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
