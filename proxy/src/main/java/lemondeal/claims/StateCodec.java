package lemondeal.claims;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** Encodes and decodes claim states as protobuf. */
final class StateCodec {
  private StateCodec() {}

  static ByteString encode(ClaimState state) {
    return lemondeal.claims.wire.ClaimState.newBuilder()
        .setCommitted(state.committed())
        .setFence(state.fence())
        .setHolder(state.holder())
        .setLeaseUntilMs(state.leaseUntil())
        .setForgetAtMs(state.forgetAt())
        .build().toByteString();
  }

  static ClaimState decode(ByteString bytes) throws InvalidProtocolBufferException {
    lemondeal.claims.wire.ClaimState state = lemondeal.claims.wire.ClaimState.parseFrom(bytes);
    return new ClaimState(state.getCommitted(), state.getFence(), state.getHolder(), state.getLeaseUntilMs(),
        state.getForgetAtMs());
  }
}
