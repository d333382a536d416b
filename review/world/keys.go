package main

import (
	"fmt"
	"time"
)

const (
	// revokeTime is the bound RevokeMs of the sheet, the time within which a key that was taken away must
	// stop to work.
	revokeTime = 5 * time.Second
	// before is how long requesters send before the configuration changes, afterRevoke how long they go on
	// once the time to revoke is over.
	before, afterRevoke = 3 * time.Second, 4 * time.Second
	sendPause           = 150 * time.Millisecond
	// revokePause is the pause between two revocations, as in a day of the site file.
	revokePause = 400 * time.Millisecond
	// unknownKey is a key that no configuration ever holds.
	unknownKey = "key-of-nobody"
)

// revokeAllKeys takes the keys of all tenants away, one after the other. Requests that are sent with one of
// them more than revokeTime after the acknowledgement must not run, and none with an unknown key.
func revokeAllKeys(w *world) (violation string, err error) {
	version := 7
	w.write("the first configuration", encode(newConfig(version, oldService, 0)))
	if err := w.addTargets(oldService, 6, 3); err != nil {
		return "", err
	}
	if err := w.startDaemons(len(zones)); err != nil {
		return "", err
	}
	var requesters []*requester
	for i, d := range w.daemons {
		requesters = append(requesters, newRequester(keyOf(i), d, w.record), newRequester(unknownKey, d, w.record))
	}
	stop := sendAll(requesters)
	time.Sleep(before)
	revoked := map[string]time.Time{}
	for i := range zones {
		version += 2
		time.Sleep(revokePause)
		if !w.trouble {
			w.write(fmt.Sprintf("version %d", version), encode(newConfig(version, oldService, 0)))
			continue
		}
		revoked[keyOf(i)] = w.write(fmt.Sprintf("version %d, without %s", version, keyOf(i)), encode(newConfig(version, oldService, i+1)))
	}
	time.Sleep(revokeTime + afterRevoke)
	stop()
	return w.checkKeys(requesters, revoked), nil
}

// checkKeys returns which requests ran that may not have run, or nothing.
func (w *world) checkKeys(requesters []*requester, revoked map[string]time.Time) string {
	allowed, late, unknown := 0, 0, 0
	for _, q := range requesters {
		for _, a := range q.all() {
			_, ran := w.runAt(a.id)
			acknowledged, isRevoked := revoked[q.key]
			switch {
			case !ran:
			case q.key == unknownKey:
				unknown++
			case isRevoked && a.sent.After(acknowledged.Add(revokeTime)):
				late++
			default:
				allowed++
			}
		}
	}
	w.record.note("ran with a key in force, or sent within RevokeMs: %d; ran with a key taken away, sent later: %d; ran with a key that no configuration held: %d",
		allowed, late, unknown)
	if late+unknown > 0 {
		return fmt.Sprintf("%d requests ran that were sent more than %v after their key was taken away, and %d with a key that no configuration ever held", late, revokeTime, unknown)
	}
	return ""
}
