package settings

import "strings"

// seedCount is the number of seed addresses that every daemon requires.
const seedCount = 3

// Common are the settings that every daemon has.
type Common struct {
	Name       string   // the operators' name for the machine; "" if it has none
	Zone       string   // the zone that the daemon runs in
	Peer       string   // address for other daemons, IP:port
	PeerListen string   // address to listen on for other daemons; that of Peer by default
	HTTP       string   // address for callers and operators, IP:port
	Seeds      []string // addresses of other daemons through which to join the fleet
	DataDir    string   // data folder; "" for a daemon without a disk
	LogFile    string   // "" for standard error
	seedList   string   // Seeds as written in the settings
}

// Common adds the settings that every daemon has. needsDisk makes the data folder mandatory.
func (r *Reader) Common(c *Common, needsDisk bool) {
	r.Flags.StringVar(&c.Name, "name", "", "the operators' name for this machine")
	r.Flags.StringVar(&c.Zone, "zone", "", "the zone this daemon runs in")
	r.Flags.StringVar(&c.Peer, "peer", "", "address for the fleet's own traffic, IP:port")
	r.Flags.StringVar(&c.PeerListen, "peer-listen", "", "address to listen on where it differs from -peer")
	r.Flags.StringVar(&c.HTTP, "http", "", "address for callers and operators, IP:port")
	r.Flags.StringVar(&c.seedList, "seeds", "", "three addresses of other daemons, separated by commas")
	r.Flags.StringVar(&c.DataDir, "data", "", "the data folder (daemons with a disk)")
	r.Flags.StringVar(&c.LogFile, "log", "", "log file; standard error when empty")
	r.AddCheck(func() {
		if c.Zone == "" {
			r.Faultf("-zone is missing; name the zone, for example -zone north")
		}
		r.checkAddresses(c)
		r.parseSeeds(c)
		if needsDisk && c.DataDir == "" {
			r.Faultf("-data is missing; give a folder on a disk of this machine")
		}
	})
}

func (r *Reader) checkAddresses(c *Common) {
	r.CheckAddress("peer", c.Peer)
	r.CheckAddress("http", c.HTTP)
	if c.PeerListen == "" {
		c.PeerListen = c.Peer
	} else {
		r.CheckAddress("peer-listen", c.PeerListen)
	}
}

func (r *Reader) parseSeeds(c *Common) {
	for _, seed := range strings.Split(c.seedList, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			r.CheckAddress("seeds", seed)
			c.Seeds = append(c.Seeds, seed)
		}
	}
	if len(c.Seeds) != seedCount {
		r.Faultf("-seeds names %d addresses; give exactly three, separated by commas", len(c.Seeds))
	}
}
