package logs

import "go.uber.org/zap"

// Err returns a log field with the message of an error. zap.Error would also log the
// stack trace of errors that have one, which adds kilobytes to each line, just when a
// host is under the most load.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
