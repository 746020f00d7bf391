package catalog

// Estimated memory of the fixed parts of an item, in bytes. They include the headers of
// strings and slices, and what the allocator adds.
const (
	itemBytes         = 192
	targetBytes       = 192
	configBytes       = 256
	routeBytes        = 288
	serviceBytes      = 64
	splitBytes        = 32
	stringBytes       = 24
	organisationBytes = 128
)

// Bytes returns the estimated memory of the item with its content.
func (it *Item) Bytes() int {
	n := itemBytes + len(it.Name)
	if it.Target != nil {
		n += targetBytes + len(it.Target.ID) + len(it.Target.Service) + len(it.Target.Address) + len(it.Target.DataCentre)
	}
	if it.Config != nil {
		n += it.Config.bytes()
	}
	if it.Err != nil {
		n += len(it.Err.Error())
	}
	return n
}

func (c *Config) bytes() int {
	n := configBytes
	for _, r := range c.Routes {
		n += routeBytes
		if r == nil {
			continue
		}
		n += len(r.Name) + len(r.Host) + len(r.Prefix)
		for _, s := range r.Split {
			n += splitBytes + len(s.Service)
		}
		for _, s := range r.Shards {
			n += stringBytes + len(s)
		}
	}
	for _, s := range c.Services {
		n += serviceBytes
		if s != nil {
			n += len(s.Name)
		}
	}
	for _, o := range c.Organisations {
		n += organisationBytes
		if o != nil {
			n += len(o.Name) + len(o.Keys)*len(KeyHash{})
		}
	}
	return n
}

// HasContent reports whether the item is one that exists and can be read.
func (it *Item) HasContent() bool { return !it.Deleted && it.Err == nil }

// Replaces reports whether a State that applies the item, which has content, after an
// earlier one of the same key is the same as one that applies only the item. It is not if
// the item is of a lower version, which a State ignores.
func (it *Item) Replaces(earlier *Item) bool {
	switch {
	case it.Config != nil && earlier.Config != nil:
		return !earlier.Config.supersedes(it.Config)
	case it.Target != nil && earlier.Target != nil:
		return !supersededBy(it.Target, earlier.Target)
	}
	return true
}
