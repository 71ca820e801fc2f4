"""Adapter that connects the decision module to the simulator by its wire protocol."""

from crowpost.simulator.decoding import Decoder as Decoder
from crowpost.simulator.decoding import Record as Record
from crowpost.simulator.decoding import Start as Start
from crowpost.simulator.decoding import Stop as Stop
from crowpost.simulator.decoding import parse_settings as parse_settings
from crowpost.simulator.encoding import encode as encode
from crowpost.simulator.encoding import encode_fault as encode_fault
from crowpost.simulator.encoding import reply as reply
from crowpost.simulator.framing import BATCH_HEADER as BATCH_HEADER
from crowpost.simulator.framing import REPLY_HEADER as REPLY_HEADER
from crowpost.simulator.framing import WireError as WireError
