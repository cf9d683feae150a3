package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
)

const settings = `{"balancers": 1, "me": 0, "dcs": ["here"], "locality": "here", "host-types": ["toy"], "discovery": "ask",
  "ceilings": {"attempts-cap": 6, "connect-timeout-us": 250000, "idle-close-us": 5000000, "may-cancel": true,
    "may-duplicate": true, "retry-after": true, "max-retry-after-us": 2000000},
  "rules": {"ask-every-us": 10000000, "cold-from": 0.13, "cold-us": 24000000, "fall-multiple": 3.0, "fall-us": 2000000,
    "grace-to-answer-us": 8000, "stop-sending-within-us": 750000},
  "specifics": {"class-kind": [-1], "class-stretch": [2.0], "tells-start": false, "progress-us": 0}, "tick-us": 2000,
  "request-classes": [{"name": "saldo", "effect": "idempotent", "aim-us": 5000000, "give-up-us": 5000000, "importance": 3.0, "late-worth": 0.25}]}`

// writeFiles writes the configuration files of a member.
func (b *Bench) writeFiles(i int) error {
	p := b.members[i]
	if err := os.MkdirAll(filepath.Join(b.dir(p.name), "record"), 0o755); err != nil {
		return err
	}
	text := fmt.Sprintf(`<ravendale><log format="json"/><fleet name=%q listen=%q dir=%q keys=%q beat="%dms" trust="%dms" span="200ms"`, p.name, b.address(i),
		filepath.Join(b.dir(p.name), "record"), filepath.Join(b.options.Dir, "keys"), b.options.Heartbeat.Milliseconds(), b.options.Trust.Milliseconds())
	for name, value := range map[string]string{"alone": b.options.Alone, "shut-out": b.options.ShutOut} {
		if value != "" {
			text += fmt.Sprintf(" %s=%q", name, value)
		}
	}
	if b.options.Record > 0 {
		text += fmt.Sprintf(` record="%d"`, b.options.Record)
	}
	text += ">"
	for j, other := range b.members {
		addr := b.address(j)
		if i != j && !b.options.Direct {
			addr = fmt.Sprintf("%s.%d:%d", b.addressPrefix, 1+i, 10000+j)
		}
		text += fmt.Sprintf(`<member name=%q address=%q/>`, other.name, addr)
	}
	text += "</fleet></ravendale>"
	if b.options.WithoutFleet {
		text = `<ravendale><log format="json"/></ravendale>`
	}
	if err := os.WriteFile(filepath.Join(b.dir(p.name), "fleet.xml"), []byte(text), 0o600); err != nil {
		return err
	}
	return b.writeConfig(i, settings)
}

func (b *Bench) writeConfig(i int, settings string) error {
	text := fmt.Sprintf(`{"name": %q, "listen": "%s.%d:9000", "discovery": "%s.%d:8500", "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"seq": 0, "whole": true, "hosts": []}, "settings": %s}`,
		b.members[i].name, b.addressPrefix, 1+i, b.addressPrefix, 1+i, settings)
	return os.WriteFile(filepath.Join(b.dir(b.members[i].name), "config.json"), []byte(text), 0o600)
}
