package main

import (
	"encoding/json"
	"fmt"
)

const (
	oldService, newService = "records-app", "records-app-new"
	host, path             = "records.example", "/packets/1"
)

// object is a JSON object in the operator's configuration.
type object map[string]any

// keyOf returns the key that a tenant has at first.
func keyOf(tenant int) string { return fmt.Sprintf("key-of-tenant-%d", tenant) }

// newRoute returns a route in the format of the sheet's packet-fetch.
func newRoute(name, prefix, service string) object {
	return object{
		"Name": name, "Host": host, wire.Prefix: prefix, "Kind": wire.Kind, "Service": service, "TimeoutMs": 1500, "GoalMs": 300,
		"Priority": 2, "Attempts": 1, "Public": false, "Sticky": false, "Resumable": false,
	}
}

// newConfig returns a configuration with a route to the service and a tenant for each zone. The first
// tenants have no keys any longer.
func newConfig(version int, service string, withoutKeys int) object {
	services, tenants := []object{}, []object{}
	for _, name := range []string{oldService, newService} {
		services = append(services, object{"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false})
	}
	for i := range zones {
		keys := []string{}
		if i >= withoutKeys {
			keys = append(keys, keyOf(i))
		}
		tenants = append(tenants, object{
			"Name": fmt.Sprintf("tenant-%d", i), "ApiKeys": keys, "Priority": 1,
			"Unit": wire.Unit, "PlainTokens": 200, "RatePerS": 108133, "Burst": 108133,
		})
	}
	return object{
		"Version": version, "Routes": []object{newRoute("r-packets", "/packets/", service)}, "Services": services, "Tenants": tenants,
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return b
}
