package batcher

import (
	"slices"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
)

// minShardUpstreams is the number of upstreams that a service needs on average in each
// of its availability zones to be split by zone, so that results stay in their zone. With
// fewer, batches fill better and the loss of an upstream is felt less if one owner has
// them all.
const minShardUpstreams = 3

// shard is a part of a service with an owner of its own: the upstreams in one
// availability zone, or all of them if zone is empty.
type shard struct{ service, zone string }

// key identifies the shard when its owner is chosen.
func (s shard) key() string {
	if s.zone == "" {
		return s.service
	}
	return s.service + "@" + s.zone
}

// includes returns the upstreams of a service that belong to the shard. If there are none
// left, for example because the zone is evacuated, it returns those of the other zones, so
// that pieces that wait need not be refused; new jobs go to the shards of those. The caller
// must not modify the slice.
func (s shard) includes(upstreams []catalog.Upstream) []catalog.Upstream {
	if s.zone == "" {
		return upstreams
	}
	var out []catalog.Upstream
	for _, u := range upstreams {
		if u.Zone == s.zone {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		return upstreams
	}
	return out
}

// shard returns the shard that runs the job.
func (j Job) shard() shard { return shard{service: j.Service, zone: j.shardZone} }

// zonesToSplit returns the availability zones by which a service with the given
// upstreams is split, none if it has a single owner.
func zonesToSplit(upstreams []catalog.Upstream) []string {
	var zones []string
	for _, u := range upstreams {
		if !slices.Contains(zones, u.Zone) {
			zones = append(zones, u.Zone)
		}
	}
	if len(zones) < 2 || len(upstreams) < minShardUpstreams*len(zones) {
		return nil
	}
	return zones
}

// shardOf returns the shard that runs a job. A job without a preferred zone, or with
// one that has no upstream of the service, gets a zone by its request ID.
func shardOf(job Job, upstreams []catalog.Upstream) shard {
	s := shard{service: job.Service}
	zones := zonesToSplit(upstreams)
	switch {
	case len(zones) == 0:
	case slices.Contains(zones, job.Zone):
		s.zone = job.Zone
	default:
		s.zone, _ = rendezvous.Best(job.RequestID, zones, func(zone string) string { return zone })
	}
	return s
}
