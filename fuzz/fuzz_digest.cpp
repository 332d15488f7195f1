#include "membership/digest_codec.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace jujubedrum;

/// Decodes the input as a digest. An accepted digest must be equal after it is
/// encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    membership_reason why;
    const auto digest = decode_digest(
        std::string_view(reinterpret_cast<const char*>(data), size), why);
    if (!digest)
    {
        if (why.code() != membership_error::malformed_digest)
        {
            std::abort();
        }
        return 0;
    }
    if (decode_digest(encode_digest(*digest), why) != digest)
    {
        std::abort();
    }
    return 0;
}

std::vector<std::string> fuzz_seeds()
{
    peer_digest digest{"e1", "d1", 77, peer_phase::ready, 300,
                       12,   8,    0,  {1, 1000},         {}};
    const std::string plain = encode_digest(digest);
    for (int i = 0; i < 8; ++i)
    {
        digest.observations.push_back(
            {"e" + std::to_string(i), 5, 200, peer_state::suspect, 12});
    }
    return {plain, encode_digest(digest)};
}
