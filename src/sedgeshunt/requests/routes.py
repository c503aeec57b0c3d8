"""Look up the route of a traffic class in one group."""

from result import Err

from sedgeshunt.configuration.labels import list_labels, read_selector
from sedgeshunt.configuration.objects import Group, Route
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.identifiers import TrafficClass

DEFAULT_CLASS = TrafficClass('default')
DEFAULT_ROUTE = Route(name='default', traffic_class=DEFAULT_CLASS)


class RouteTable:
    """Map traffic classes to the routes of one group."""

    def __init__(self) -> None:
        """Start with the built-in default route."""
        self._routes = {DEFAULT_CLASS: DEFAULT_ROUTE}

    def apply(self, group: Group, snapshot: Snapshot) -> None:
        """Apply a new configuration."""
        labels = list_labels(group)
        routes: dict[TrafficClass, Route] = {}
        for _, route in sorted(snapshot.routes.items()):
            selector = read_selector(route.groups)
            if isinstance(selector, Err):
                continue
            if selector.ok_value.matches(labels):
                routes.setdefault(route.traffic_class, route)
        routes.setdefault(DEFAULT_CLASS, DEFAULT_ROUTE)
        self._routes = routes

    def find(self, traffic_class: TrafficClass) -> Route:
        """Return the route of a class, or the default one."""
        found = self._routes.get(traffic_class)
        return found or self._routes[DEFAULT_CLASS]

    def has_class(self, traffic_class: TrafficClass) -> bool:
        """Return whether a route declares the class."""
        return traffic_class in self._routes
