"""Builds the tasks of one incarnation of a node and connects them."""

import contextlib
import time

import eliot

from sesamejunction.border import forwardhttp
from sesamejunction.border import grants as grantport
from sesamejunction.border import httpclient
from sesamejunction.border import loghttp
from sesamejunction.border import metrics
from sesamejunction.border import packets as codec
from sesamejunction.border import peerrpc
from sesamejunction.border import peertags
from sesamejunction.border import settings
from sesamejunction.border import targethttp
from sesamejunction.commands import ports as porting
from sesamejunction.model import measuring
from sesamejunction.model import messages
from sesamejunction.model import operating
from sesamejunction.tasks import allocators
from sesamejunction.tasks import appender
from sesamejunction.tasks import chooser
from sesamejunction.tasks import clock
from sesamejunction.tasks import datagrams
from sesamejunction.tasks import gate
from sesamejunction.tasks import grants
from sesamejunction.tasks import hotkeys
from sesamejunction.tasks import journal
from sesamejunction.tasks import leases
from sesamejunction.tasks import membership
from sesamejunction.tasks import meter
from sesamejunction.tasks import once
from sesamejunction.tasks import owners
from sesamejunction.tasks import planner
from sesamejunction.tasks import shares
from sesamejunction.tasks import stopping
from sesamejunction.tasks import witnesses

# Limit of requests that wait at this node while the slot of their key moves.
MAX_WAITING = 256


class Components:
    """The tasks of one incarnation and the clients that they use.

    ``stack`` closes the clients and servers that are opened. ``stop`` is
    requested when the target or the lease is lost.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        incarnation: int,
        stack: contextlib.AsyncExitStack,
        stop: stopping.StopSignal,
    ):
        self._settings = node_settings
        self._host = str(node_settings.host)
        self._incarnation = incarnation
        self._stack = stack
        self._stop = stop
        self.secret = node_settings.fleet_secret.get_secret_value().encode()

    async def build(self, process_metrics: metrics.Metrics) -> None:
        """Build all tasks and bind the peer port; starts no task."""
        await self._open_clients()
        self._build_membership(process_metrics)
        self._build_admission()
        self._build_ownership()
        self._build_shares()
        self._build_witnesses()
        self._build_journal()
        await self._open_peer_port()

    def list_tasks(self) -> tuple:
        """Return the tasks that run until the incarnation ends."""
        return (
            self.appender,
            self.membership,
            self._planner,
            self.gate,
            self._chooser,
            self._once,
            self.journal,
            self.meter,
            self._hot_keys,
            self.grants,
            *self._list_peer_tasks(),
        )

    def list_loops(self) -> tuple:
        """Return the coroutines to run in addition to the tasks."""
        lease_tasks = (self.leases, self._witnesses)
        return (
            self.journal.follow(),
            leases.forward_log_contact(self.journal, lease_tasks),
        )

    def build_request_ports(self) -> porting.Ports:
        """Return the ports that the request path uses."""
        return porting.Ports(
            incarnation=self._incarnation,
            states=self._states,
            gate=self.gate,
            lease=self._lease,
            owners=self.owners,
            shares=self.shares,
            once=self._once,
            chooser=self._chooser,
            peers=forwardhttp.PeerTransport(
                self._http, self.secret, clock.read_boot_clock
            ),
            target=self.target,
            clock=clock.read_boot_clock,
            waiter_limit=porting.WaiterLimit(MAX_WAITING),
            keys=hotkeys.BatchingKeyCounter(self._hot_keys),
        )

    async def _open_clients(self) -> None:
        enter = self._stack.enter_async_context
        self._log = await enter(loghttp.LogClient(str(self._settings.log_url)))
        self._http = await enter(httpclient.HttpClient())
        self._credentials = peertags.Credentials(
            self.secret, self._incarnation, time.time
        )
        self._peers = await enter(peerrpc.PeerClient(self._credentials))
        self._grant_client = await enter(grantport.GrantClient(self._host))
        self.target = await enter(
            targethttp.TargetTransport(
                self._http, self._host, clock.read_boot_clock
            )
        )

    def _build_membership(self, process_metrics) -> None:
        node_settings = self._settings
        self.appender = appender.Appender(self._log)
        self.membership = membership.Membership(
            membership.Identity(
                self._incarnation,
                node_settings.name,
                node_settings.zone,
                self._host,
                node_settings.advertised_caller_port,
                node_settings.advertised_peer_port,
                node_settings.operator_port,
            ),
            self.appender,
            self._stop.request,
        )
        self.meter = meter.Meter(process_metrics)
        self._planner = planner.Planner(
            self._incarnation, self.appender, node_settings.log_retention_s
        )
        self._hot_keys = hotkeys.HotKeys(self._incarnation, self.appender)

    def _build_admission(self) -> None:
        self.gate = gate.Gate(self._incarnation)
        self._chooser = chooser.Chooser(self._incarnation, self._settings.zone)
        self._once = once.Once()
        self._states = porting.StateView()
        self._lease = porting.LeaseView()

    def _build_ownership(self) -> None:
        self.grants = grants.Grants(self._grant_client)
        self.owners = owners.Owners(
            self._incarnation,
            owners.Ports(self._peers, self.appender, self.grants, self._once),
        )
        self._datagrams = datagrams.Datagrams(
            codec.PacketCodec(self.secret, self._incarnation),
            self._host,
            self._settings.peer_port,
        )
        self._lease_ports = leases.Ports(self._datagrams, self.appender)
        self.leases = leases.Leases(
            self._incarnation,
            self._lease_ports,
            self._handle_lease_lost,
            self.owners,
            self._lease,
        )
        self._datagrams.subscribe(self.leases, leases.MESSAGE_TYPES)

    def _build_shares(self) -> None:
        self._allocators = allocators.Allocators(
            self._incarnation, self.owners, self._datagrams
        )
        self.shares = shares.Shares(
            self._incarnation, self._allocators, self._datagrams
        )
        self._allocators.own_shares = self.shares
        self._datagrams.subscribe(
            self.shares, (messages.ShareRequest, messages.ShareReply)
        )

    def _build_witnesses(self) -> None:
        self._witnesses = witnesses.Witnesses(
            self._incarnation,
            self._lease_ports,
            (
                self.leases,
                self.owners,
                self._chooser,
                self._allocators,
                self.shares,
            ),
        )
        self._datagrams.subscribe(self._witnesses, witnesses.MESSAGE_TYPES)

    def _build_journal(self) -> None:
        self.journal = journal.Journal(
            self._log,
            (
                self.appender,
                self.membership,
                self._planner,
                self.gate,
                self._chooser,
                self._states,
                self.meter,
                self._hot_keys,
                *self._list_peer_tasks(),
            ),
            self._peers,
            (self._planner,),
        )
        # The journal publishes to these tasks and is therefore built last.
        self.leases.journal = self._witnesses.journal = self.journal
        self.leases.subscribe(self._witnesses)

    async def _open_peer_port(self) -> None:
        address = (self._host, self._settings.peer_port)
        await self._stack.enter_async_context(self._datagrams)
        await self._stack.enter_async_context(
            peerrpc.PeerServer(
                self._credentials, address, self.journal, self.owners
            )
        )

    def _list_peer_tasks(self) -> tuple:
        return (
            self._datagrams,
            self.leases,
            self._witnesses,
            self.owners,
            self._allocators,
            self.shares,
        )

    def _handle_lease_lost(self, reason: str) -> None:
        eliot.log_message('lease: lost', reason=reason)
        self.meter.tell(measuring.LeaseLost())
        self._stop.request(operating.StopReason.LEASE_LOST)
