package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// configBytes is the sheet's bound of a value in the store.
	configBytes = 1 << 20
	// deadline is the bound ConfigDeadlineMs of the sheet.
	deadline = 2 * time.Second
	// stormPause and stormLength are the largest doses of config_storm in the site file.
	stormPause, stormLength = 80 * time.Millisecond, 2 * time.Second
	// afterStorm is how long requesters go on after the last change.
	afterStorm = 26 * time.Second
)

// changeLargeConfig changes a large configuration in quick succession. The last change moves a route to
// another service.
func changeLargeConfig(w *world) (violation string, err error) {
	const first = 7
	w.write("the first configuration", largeConfig(first, oldService))
	var storm [][]byte
	if w.trouble {
		for i := range int(stormLength / stormPause) {
			storm = append(storm, largeConfig(first+1+i, oldService))
		}
	}
	storm = append(storm, largeConfig(first+1+len(storm), newService))
	if err := w.addTargets(oldService, 6, 3); err != nil {
		return "", err
	}
	if err := w.addTargets(newService, 6, 3); err != nil {
		return "", err
	}
	if err := w.startDaemons(8); err != nil {
		return "", err
	}
	var requesters []*requester
	for i, d := range w.daemons {
		requesters = append(requesters, newRequester(keyOf(i%len(zones)), d, w.record))
	}
	stop := sendAll(requesters)
	time.Sleep(before)
	for i, config := range storm {
		if i > 0 {
			time.Sleep(stormPause)
		}
		w.write(fmt.Sprintf("change %d", i+1), config)
	}
	acknowledged := time.Now()
	time.Sleep(afterStorm)
	stop()
	return w.checkMoved(requesters, acknowledged), nil
}

// largeConfig returns a configuration of configBytes, most of it idle routes.
func largeConfig(version int, service string) []byte {
	config := newConfig(version, service, 0)
	routes := config["Routes"].([]object)
	routes[0]["TimeoutMs"] = 1500 + version // what each change changes
	left := configBytes - len(encode(config))
	for i := 0; ; i++ {
		idle := newRoute(fmt.Sprintf("r-idle-%05d", i), fmt.Sprintf("/idle-%05d/", i), oldService)
		if left -= len(encode(idle)) + 1; left < 0 {
			break
		}
		routes = append(routes, idle)
	}
	config["Routes"] = routes
	b := encode(config)
	return append(b, strings.Repeat(" ", configBytes-len(b))...)
}

// checkMoved returns which requests the old service ran that may not have gone there any longer, or nothing.
func (w *world) checkMoved(requesters []*requester, acknowledged time.Time) string {
	old, moved, refused, late := 0, 0, 0, 0
	var served time.Time
	for _, q := range requesters {
		for _, a := range q.all() {
			if !a.sent.After(acknowledged.Add(deadline)) {
				continue
			}
			late++
			switch service, ran := w.runAt(a.id); {
			case !ran:
				refused++
			case service == newService:
				moved++
				if served.IsZero() || a.sent.Before(served) {
					served = a.sent
				}
			default:
				old++
			}
		}
	}
	w.record.note("sent later than ConfigDeadlineMs after the last change: %d; run by the new service: %d, by the old one: %d; not run: %d",
		late, moved, old, refused)
	if !served.IsZero() {
		w.record.note("the new service ran the first of these %.1f s after the last change", served.Sub(acknowledged).Seconds())
	}
	if old > 0 {
		return fmt.Sprintf("the old service ran %d requests that were sent more than %v after their route was moved", old, deadline)
	}
	return ""
}
