"""A part of a front's listing logic: what all parts share."""


class Component:
    """One job of the Listing that it belongs to, and through which it reaches the others."""

    def __init__(self, listing):
        self.listing = listing
        self.me = listing.me
        self.terms = listing.terms
        self.live = listing.live
        self.timers = listing.timers
        self.counts = listing.counts

    @property
    def held(self):
        return self.listing.held

    @property
    def upstream(self):
        return self.listing.upstream

    @property
    def roles(self):
        return self.listing.roles

    @property
    def stream(self):
        return self.listing.stream

    @property
    def heard(self):
        return self.listing.heard

    @property
    def followers(self):
        return self.listing.followers

    @property
    def snapshot(self):
        return self.listing.snapshot

    @property
    def pages(self):
        return self.listing.pages

    @property
    def scopes(self):
        return self.listing.scopes

    @property
    def tree(self):
        return self.listing.tree

    @property
    def children(self):
        return self.listing.children
