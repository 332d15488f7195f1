#pragma once

#include "config/config_error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace jujubedrum
{

/// Ed25519 key pair for signing edits. Both keys are 64 lower-case hex digits.
class key_pair
{
public:
    /// Returns a new random key pair.
    /// \param why set if OpenSSL fails.
    [[nodiscard]] static std::optional<key_pair> generate(config_reason& why);

    /// Returns the key pair of a private key.
    /// \param hex 64 lower-case hex digits; surrounding white space is ignored.
    /// \param why set if the text is not a private key.
    [[nodiscard]] static std::optional<key_pair>
    from_private_key(std::string_view hex, config_reason& why);

    /// Returns the public key in hex.
    [[nodiscard]] const std::string& public_key() const
    {
        return this->public_key_value;
    }
    /// Returns the private key in hex. Keep it out of logs.
    [[nodiscard]] const std::string& private_key() const
    {
        return this->private_key_value;
    }

    /// Returns the signature of the text as 128 hex digits; empty on failure.
    [[nodiscard]] std::string sign(std::string_view text) const;

    /// Returns whether the signature of the text is valid for the public key;
    /// false if the key or the signature is malformed.
    [[nodiscard]] static bool verify(std::string_view public_key_hex,
                                     std::string_view text,
                                     std::string_view signature_hex);

    bool operator==(const key_pair&) const = default;

private:
    key_pair(std::string public_key, std::string private_key)
        : public_key_value(std::move(public_key))
        , private_key_value(std::move(private_key))
    {
    }

    std::string public_key_value;
    std::string private_key_value;
};

} // namespace jujubedrum
