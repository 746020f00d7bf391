package entry

import (
	"reflect"
	"time"
)

// settingsPollInterval is the interval at which the settings are read again: they
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// reload reads the settings again and applies what can change while the process
// runs: the seeds. Addresses and limits need a restart, which is logged.
func (p *process) reload(trigger string) {
	p.reloadMu.Lock()
	defer p.reloadMu.Unlock()
	s, err := p.adapter.LoadSettings()
	if err != nil {
		p.log.Error("reloading the settings failed; keeping the current ones", "by", trigger, "error", err)
		return
	}
	before := p.latestSettings
	if reflect.DeepEqual(s, before) {
		if trigger == reloadBySignal {
			p.log.Info("settings reloaded", "by", trigger, "changed", false)
		}
		return
	}
	p.latestSettings = s
	if p.peers != nil {
		p.peers.SetSeeds(s.Seeds)
	}
	unapplied := s
	unapplied.Seeds = before.Seeds
	p.log.Info("settings reloaded", "by", trigger, "changed", true, "seeds", s.Seeds,
		"needs_restart", !reflect.DeepEqual(unapplied, before))
}

// Triggers of a reload.
const (
	reloadBySignal = "signal"
	reloadByPoll   = "poll"
)

// pollSettings reloads settings that changed without a signal.
func (p *process) pollSettings() error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
			p.reload(reloadByPoll)
		}
	}
}
